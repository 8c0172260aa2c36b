#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace GraniteField::Policy {

/// What the whole fleet may send to a service beyond the first send of each request, in any window of time.
struct RetryAllowance {
    /// Repeated sends for each request.
    double ratio {0.1};
    /// Repeated sends of the whole fleet that no request has to earn, in each window.
    double slack {50};
    Core::Milliseconds window {10'000};
};

/// One entry's part of the fleet's retry allowance for one service. It earns by the entry's own requests of the last
/// window, all of which may be spent at once, and takes an equal part of the slack among the entries known; so the sum
/// over the fleet stays inside the allowance without any exchange. For one thread.
///
/// A fault asks for everything at one moment, so that an entry may save up what its requests have earned.
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

    void note_first_send(Core::MonotonicTime now) { ++slice_at(now).first_sends; }

    /// Takes one repeated send from the budget, or says that there is none.
    [[nodiscard]] bool try_spend(Core::MonotonicTime now)
    {
        auto& slice = slice_at(now);
        if (earned() >= 1) {
            ++slice.spent;
            return true;
        }
        refill(now);
        if (m_slack < 1)
            return false;
        m_slack -= 1;
        return true;
    }

    /// What may be spent at this moment.
    [[nodiscard]] double balance() const { return std::max(0.0, earned()) + m_slack; }

private:
    /// Parts in which a window is counted.
    static constexpr std::int64_t s_slices = 20;

    /// What happened in a part of a window.
    struct Slice {
        std::int64_t number {0};
        unsigned first_sends {0};
        /// Repeated sends that were paid with what the first ones earn.
        unsigned spent {0};
    };

    Slice& slice_at(Core::MonotonicTime now)
    {
        auto const number = now.time_since_epoch() / (m_allowance.window / s_slices);
        while (!m_window.empty() && m_window.front().number < number - s_slices)
            m_window.pop_front();
        if (m_window.empty() || m_window.back().number < number)
            m_window.push_back({number, 0, 0});
        return m_window.back();
    }

    /// Counts first sends of no more than a window and repeated ones of no less, so that it holds for any window.
    [[nodiscard]] double earned() const
    {
        if (m_window.empty())
            return 0;
        double sum = 0;
        for (auto const& slice : m_window) {
            bool const is_whole = slice.number > m_window.back().number - s_slices;
            sum += is_whole ? m_allowance.ratio * s_used_part * slice.first_sends : 0;
            sum -= slice.spent;
        }
        return sum;
    }

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
        m_slack = std::min(capacity(), m_slack + slack_part() * passed.count() / window.count());
        m_last_refill = now;
    }

    RetryAllowance m_allowance;
    std::size_t m_entry_count {s_least_entries};
    /// A process that restarts often must not spend a full balance each time.
    double m_slack {1};
    std::deque<Slice> m_window;
    Core::MonotonicTime m_last_refill;
};

}
