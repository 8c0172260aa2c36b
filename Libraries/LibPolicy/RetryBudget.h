#pragma once

#include <algorithm>

namespace GraniteField::Policy {

/// Limits retries to a fraction of the requests. A limit on the attempts of each request alone would multiply the load
/// under overload.
class RetryBudget {
public:
    /// Retries that each first attempt earns.
    static constexpr double s_share = 0.1;
    /// Maximum balance, and the initial balance of a new process.
    static constexpr double s_reserve = 50;

    void note_first_try() { m_balance = std::min(m_balance + s_share, s_reserve); }

    /// Spends one retry. Returns whether the budget allowed it.
    [[nodiscard]] bool try_spend()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

    [[nodiscard]] double balance() const { return m_balance; }

private:
    double m_balance {s_reserve};
};

}
