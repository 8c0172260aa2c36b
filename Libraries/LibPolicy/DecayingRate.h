#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <cmath>
#include <numbers>

namespace GraniteField::Policy {

/// Rate per second of a quantity that is added in lumps, as an exponentially weighted mean over the last seconds.
class DecayingRate {
public:
    using Seconds = std::chrono::duration<double>;

    explicit DecayingRate(Seconds half_life)
        : m_half_life(half_life)
    {
    }

    void add(double amount, Core::MonotonicTime now)
    {
        m_sum = sum_at(now) + amount;
        m_updated = now;
    }

    [[nodiscard]] double per_second(Core::MonotonicTime now) const
    {
        return sum_at(now) * std::numbers::ln2 / m_half_life.count();
    }

private:
    [[nodiscard]] double sum_at(Core::MonotonicTime now) const
    {
        Seconds const age = now - m_updated;
        return m_sum * std::exp2(-age / m_half_life);
    }

    Seconds m_half_life;
    double m_sum {0};
    Core::MonotonicTime m_updated;
};

}
