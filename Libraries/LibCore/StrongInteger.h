#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace GraniteField::Core {

/// An integer that carries the meaning of its tag, so that two kinds of number cannot be mixed up.
template <typename Tag, typename Representation = std::uint64_t>
class StrongInteger {
public:
    constexpr StrongInteger() = default;
    constexpr explicit StrongInteger(Representation value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr Representation value() const { return m_value; }
    [[nodiscard]] constexpr StrongInteger next() const { return StrongInteger(m_value + 1); }
    constexpr auto operator<=>(StrongInteger const&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, StrongInteger const& integer)
    {
        return Hash::combine(std::move(state), integer.m_value);
    }

private:
    Representation m_value {0};
};

}
