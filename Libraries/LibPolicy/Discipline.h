#pragma once

#include <concepts>

namespace GraniteField::Policy {

/// How a queue orders its work. The product runs TieredDiscipline; the others are the baselines that it
/// is measured against.
template <typename Candidate>
concept Discipline
    = std::same_as<decltype(Candidate::has_tiers), bool const> && std::same_as<decltype(Candidate::has_floors),
        bool const> && std::same_as<decltype(Candidate::has_deadlines),
        bool const> && std::same_as<decltype(Candidate::has_preemption), bool const>;

/// Tiers strictly first, floors for every class, deadlines and weights inside a tier, and suspension of lower
/// tiers for what would miss its target.
struct TieredDiscipline {
    static constexpr bool has_tiers = true;
    static constexpr bool has_floors = true;
    static constexpr bool has_deadlines = true;
    static constexpr bool has_preemption = true;
};

/// Tiers strictly first and nothing else.
struct BareTierDiscipline {
    static constexpr bool has_tiers = true;
    static constexpr bool has_floors = false;
    static constexpr bool has_deadlines = false;
    static constexpr bool has_preemption = false;
};

/// First come, first served.
struct ArrivalDiscipline {
    static constexpr bool has_tiers = false;
    static constexpr bool has_floors = false;
    static constexpr bool has_deadlines = false;
    static constexpr bool has_preemption = false;
};

}
