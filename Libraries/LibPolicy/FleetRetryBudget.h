#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstddef>

namespace GraniteField::Policy {

/// What the whole fleet may send to a service beyond the first send of each request, in any window of time.
struct RetryAllowance {
    /// Repeated sends for each request.
    double ratio {0.1};
    /// Repeated sends of the whole fleet that no request has to earn, in each window.
    double slack {50};
    Core::Milliseconds window {10'000};
};

/// One entry's part of the fleet's retry allowance for one service. It earns by the entry's own requests and takes an
/// equal part of the slack among the entries known, so that the sum over the fleet stays inside the allowance
/// without any exchange. For one thread.
class FleetRetryBudget {
public:
    /// Part of the allowance that is used, so that late arrivals and entries not yet known stay inside it.
    static constexpr double s_used_part = 0.7;
    /// Entries that share the slack at least: a new process knows nobody.
    static constexpr std::size_t s_least_entries = 8;

    explicit FleetRetryBudget(RetryAllowance allowance)
        : m_allowance(allowance)
    {
    }

    void set_allowance(RetryAllowance allowance) { m_allowance = allowance; }
    void set_entry_count(std::size_t count) { m_entry_count = std::max(count, s_least_entries); }

    void note_first_send() { m_balance = std::min(m_balance + m_allowance.ratio * s_used_part, capacity()); }

    /// Takes one repeated send from the budget, or says that there is none.
    [[nodiscard]] bool try_spend(Core::MonotonicTime now)
    {
        refill(now);
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

    [[nodiscard]] double balance() const { return m_balance; }

private:
    /// A full balance and one window's refill are both spent in one window at worst, so each gets half.
    [[nodiscard]] double slack_part() const
    {
        return m_allowance.slack * s_used_part / static_cast<double>(m_entry_count) / 2;
    }

    [[nodiscard]] double capacity() const { return std::max(1.0, slack_part()); }

    void refill(Core::MonotonicTime now)
    {
        if (m_last_refill == Core::MonotonicTime())
            m_last_refill = now;
        std::chrono::duration<double> const passed = now - m_last_refill;
        std::chrono::duration<double> const window = m_allowance.window;
        m_balance = std::min(capacity(), m_balance + slack_part() * passed.count() / window.count());
        m_last_refill = now;
    }

    RetryAllowance m_allowance;
    std::size_t m_entry_count {s_least_entries};
    /// A process that restarts often must not spend a full balance each time.
    double m_balance {1};
    Core::MonotonicTime m_last_refill;
};

}
