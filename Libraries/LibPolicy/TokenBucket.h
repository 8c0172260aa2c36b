#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <chrono>

namespace GraniteField::Policy {

/// A rate with a burst. What is spent beyond it is a debt that has to be worked off first, so that
/// costs that are only known afterwards (generated tokens) can be charged as they were.
class TokenBucket {
public:
    TokenBucket() = default;
    TokenBucket(double rate_per_second, double burst)
        : m_rate(rate_per_second)
        , m_burst(burst)
        , m_level(burst)
    {
    }

    /// Takes a new rate and burst and keeps the debt.
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

    /// How long until an amount can be spent; zero when it can be now.
    [[nodiscard]] Core::Milliseconds wait_for(double amount, Core::MonotonicTime now)
    {
        update(now);
        // More than the burst never gathers, so the burst has to be enough.
        auto const missing = std::min(amount, m_burst) - m_level;
        if (missing <= 0)
            return Core::Milliseconds(0);
        auto const milliseconds = missing / m_rate * 1000;
        return Core::Milliseconds(static_cast<std::int64_t>(std::min(milliseconds, s_longest_wait_milliseconds)) + 1);
    }

    [[nodiscard]] double level() const { return m_level; }

private:
    static constexpr double s_longest_wait_milliseconds = 3'600'000;

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
