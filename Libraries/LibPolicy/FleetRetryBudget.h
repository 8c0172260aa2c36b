#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/RetryCharge.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace GraniteField::Policy {

/// Repeated sends that the whole fleet may make to a service in any time window.
struct RetryAllowance {
    /// Repeated sends allowed per request.
    double ratio {0.1};
    /// Repeated sends of the whole fleet in each window that are allowed in addition, whatever the number of requests.
    double slack {50};
    Core::Milliseconds window {10'000};
};

/// One gateway's share of the fleet's retry allowance for one service. It consists of the allowance earned by the
/// gateway's own requests in the last window, all of which may be spent at once, and an equal share of the slack among
/// the known gateways. The sum over the fleet thus stays within the allowance without any communication. For one
/// thread.
///
/// A fault causes all retries at one moment, so a gateway may save up what its requests have earned.
///
/// The allowance limits arrivals at servers, while the budget sees sends. A send that its server has not read may
/// arrive at any later time together with others, so its charge counts in every window until it is settled, and then
/// for one window more.
class FleetRetryBudget {
public:
    /// Fraction of the allowance that is used, so that late arrivals and gateways that are not known yet stay within
    /// it.
    static constexpr double s_used_fraction = 0.7;
    /// Minimum number of gateways among which the slack is divided, since a new process knows no others.
    static constexpr std::size_t s_min_entries = 8;

    explicit FleetRetryBudget(RetryAllowance allowance)
        : m_allowance(allowance)
    {
    }
    FleetRetryBudget(FleetRetryBudget&&) = default;
    FleetRetryBudget& operator=(FleetRetryBudget&&) = default;

    void set_allowance(RetryAllowance allowance) { m_allowance = allowance; }
    void set_entry_count(std::size_t count) { m_entry_count = std::max(count, s_min_entries); }

    void note_first_send(Core::MonotonicTime now) { ++slice_at(now).first_sends; }

    /// Charges one repeated send. Returns the charge, to be kept until the send has been read by its server or can't
    /// be read any more; nullopt if the budget does not allow the send.
    [[nodiscard]] std::optional<RetryCharge> try_spend(Core::MonotonicTime now)
    {
        static_cast<void>(slice_at(now));
        if (earned() >= 1)
            return RetryCharge(m_charges, RetryCharge::Source::Earned);
        refill(now);
        if (m_slack < 1)
            return std::nullopt;
        m_slack -= 1;
        return RetryCharge(m_charges, RetryCharge::Source::Slack);
    }

    /// Number of repeated sends whose charges are not settled.
    [[nodiscard]] std::size_t unsettled() const { return m_charges->earned + m_charges->slack; }
    /// Number of repeated sends that are available now.
    [[nodiscard]] double balance() const { return std::max(0.0, earned()) + m_slack; }

private:
    /// Number of slices of a window.
    static constexpr std::int64_t s_slices = 20;

    /// Counts of one slice of the window.
    struct Slice {
        std::int64_t number {0};
        unsigned first_sends {0};
        /// Repeated sends charged to the earned allowance.
        unsigned spent {0};
    };

    Slice& slice_at(Core::MonotonicTime now)
    {
        auto const number = now.time_since_epoch() / (m_allowance.window / s_slices);
        while (!m_window.empty() && m_window.front().number < number - s_slices)
            m_window.pop_front();
        if (m_window.empty() || m_window.back().number < number)
            m_window.push_back({number, 0, 0});
        m_window.back().spent += std::exchange(m_charges->settled, 0U);
        return m_window.back();
    }

    /// Counts the first sends of at most one window and the repeated ones of at least one, so that the limit holds for
    /// any window.
    [[nodiscard]] double earned() const
    {
        if (m_window.empty())
            return 0;
        double sum = -static_cast<double>(m_charges->earned) - m_charges->settled;
        for (auto const& slice : m_window) {
            bool const is_whole = slice.number > m_window.back().number - s_slices;
            sum += is_whole ? m_allowance.ratio * s_used_fraction * slice.first_sends : 0;
            sum -= slice.spent;
        }
        return sum;
    }

    /// In the worst case a full balance and one window's refill are spent in the same window, so each gets half.
    [[nodiscard]] double slack_share() const
    {
        return m_allowance.slack * s_used_fraction / static_cast<double>(m_entry_count) / 2;
    }

    [[nodiscard]] double capacity() const { return std::max(1.0, slack_share()); }

    void refill(Core::MonotonicTime now)
    {
        if (m_last_refill == Core::MonotonicTime())
            m_last_refill = now;
        std::chrono::duration<double> const passed = now - m_last_refill;
        std::chrono::duration<double> const window = m_allowance.window;
        auto const limit = std::max(0.0, capacity() - static_cast<double>(m_charges->slack));
        m_slack = std::min(limit, m_slack + slack_share() * passed.count() / window.count());
        m_last_refill = now;
    }

    RetryAllowance m_allowance;
    std::size_t m_entry_count {s_min_entries};
    /// Starts low, so that a process that restarts often does not spend a full balance each time.
    double m_slack {1};
    std::deque<Slice> m_window;
    Core::MonotonicTime m_last_refill;
    std::shared_ptr<RetryChargeCounts> m_charges {std::make_shared<RetryChargeCounts>()};
};

}
