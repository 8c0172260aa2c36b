#pragma once

#include <algorithm>

namespace GraniteField::Policy {

/// Retries as a share of the traffic. A number of tries for each request alone would multiply the load
/// just when there is too much of it.
class RetryBudget {
public:
    /// Retries that each first try earns.
    static constexpr double s_share = 0.1;
    /// Retries that may be saved up; also what a new process starts with.
    static constexpr double s_reserve = 50;

    void note_first_try() { m_balance = std::min(m_balance + s_share, s_reserve); }

    /// Takes one retry from the budget, or says that there is none.
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
