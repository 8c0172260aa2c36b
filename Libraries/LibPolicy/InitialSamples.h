#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace GraniteField::Policy {

/// Keeps the first samples of a quantity and returns their quantiles, for the initial value of an estimate. A single
/// outlier among them has little effect.
template <std::size_t Capacity>
class InitialSamples {
public:
    [[nodiscard]] std::size_t count() const { return m_count; }
    [[nodiscard]] bool is_full() const { return m_count == Capacity; }

    /// Must not be called when full.
    void add(double sample)
    {
        auto* const end = m_sorted.data() + m_count;
        auto* const position = std::upper_bound(m_sorted.data(), end, sample);
        std::move_backward(position, end, end + 1);
        *position = sample;
        ++m_count;
    }

    /// Returns the sample at that quantile. There must be at least one sample.
    [[nodiscard]] double quantile(double fraction) const
    {
        auto const index = static_cast<std::size_t>(fraction * static_cast<double>(m_count));
        return m_sorted.at(std::min(index, m_count - 1));
    }

private:
    std::array<double, Capacity> m_sorted {};
    std::size_t m_count {0};
};

}
