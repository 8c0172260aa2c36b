#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <chrono>

namespace GraniteField::Policy {

/// Token bucket that can be overdrawn: costs that are known only afterwards (generated tokens) are charged in full,
/// and the resulting debt must be repaid before more can be spent.
class TokenBucket {
public:
    TokenBucket() = default;
    TokenBucket(double rate_per_second, double burst)
        : m_rate(rate_per_second)
        , m_burst(burst)
        , m_level(burst)
    {
    }

    /// Sets a new rate and burst and keeps the debt.
    void set_rate(double rate_per_second, double burst)
    {
        m_rate = rate_per_second;
        m_burst = burst;
        m_level = std::min(m_level, burst);
    }

    void charge(double amount, Core::MonotonicTime now)
    {
        update(now);
        m_level -= amount;
    }

    /// Returns the time until the amount can be spent, or zero if it can be spent now.
    [[nodiscard]] Core::Milliseconds wait_for(double amount, Core::MonotonicTime now)
    {
        update(now);
        // The level never exceeds the burst, so larger amounts need only the full burst.
        auto const missing = std::min(amount, m_burst) - m_level;
        if (missing <= 0)
            return Core::Milliseconds(0);
        auto const milliseconds = missing / m_rate * 1000;
        return Core::Milliseconds(static_cast<std::int64_t>(std::min(milliseconds, s_max_wait_milliseconds)) + 1);
    }

    [[nodiscard]] double level() const { return m_level; }

private:
    static constexpr double s_max_wait_milliseconds = 3'600'000;

    void update(Core::MonotonicTime now)
    {
        if (m_updated == Core::MonotonicTime())
            m_updated = now;
        auto const elapsed
            = std::chrono::duration<double>(std::max(now - m_updated, Core::MonotonicTime::duration::zero()));
        m_updated = std::max(now, m_updated);
        m_level = std::min(m_burst, m_level + elapsed.count() * m_rate);
    }

    double m_rate {1};
    double m_burst {1};
    double m_level {1};
    Core::MonotonicTime m_updated;
};

}
