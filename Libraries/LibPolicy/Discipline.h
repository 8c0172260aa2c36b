#pragma once

#include <concepts>

namespace GraniteField::Policy {

/// How a queue orders its work. The product runs TieredDiscipline; the others are the baselines that it
/// is measured against.
template <typename Candidate>
concept Discipline = requires
{
    {
        Candidate::has_tiers
        } -> std::convertible_to<bool>;
    {
        Candidate::has_floors
        } -> std::convertible_to<bool>;
    {
        Candidate::has_deadlines
        } -> std::convertible_to<bool>;
};

/// Tiers strictly first, floors for every class, deadlines and weights inside a tier.
struct TieredDiscipline {
    static constexpr bool has_tiers = true;
    static constexpr bool has_floors = true;
    static constexpr bool has_deadlines = true;
};

/// Tiers strictly first and nothing else.
struct BareTierDiscipline {
    static constexpr bool has_tiers = true;
    static constexpr bool has_floors = false;
    static constexpr bool has_deadlines = false;
};

/// First come, first served.
struct ArrivalDiscipline {
    static constexpr bool has_tiers = false;
    static constexpr bool has_floors = false;
    static constexpr bool has_deadlines = false;
};

}
