#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace GraniteField::Policy {

/// The first few samples of a quantity, and their quantiles: an estimate that begins with a guess takes it from them,
/// and a single odd sample among them moves it little.
template <std::size_t Capacity>
class FirstSamples {
public:
    [[nodiscard]] std::size_t count() const { return m_count; }
    [[nodiscard]] bool is_full() const { return m_count == Capacity; }

    /// Not called once it is full.
    void add(double sample)
    {
        auto* const end = m_sorted.data() + m_count;
        auto* const place = std::upper_bound(m_sorted.data(), end, sample);
        std::move_backward(place, end, end + 1);
        *place = sample;
        ++m_count;
    }

    /// The sample that the part of them lies below; there is at least one.
    [[nodiscard]] double quantile(double part) const
    {
        auto const index = static_cast<std::size_t>(part * static_cast<double>(m_count));
        return m_sorted.at(std::min(index, m_count - 1));
    }

private:
    std::array<double, Capacity> m_sorted {};
    std::size_t m_count {0};
};

}
