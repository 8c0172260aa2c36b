#pragma once

#include <concepts>

namespace GraniteField::Policy {

/// Queueing discipline. The daemon uses TieredDiscipline by default; the others are baselines for comparison.
template <typename Candidate>
concept Discipline
    = std::same_as<decltype(Candidate::has_tiers), bool const> && std::same_as<decltype(Candidate::has_floors),
        bool const> && std::same_as<decltype(Candidate::has_deadlines),
        bool const> && std::same_as<decltype(Candidate::has_preemption), bool const>;

/// Strict priority of tiers, floors for classes, deadlines and weights inside a tier, and preemption of lower tiers
/// for attempts that would miss their target.
struct TieredDiscipline {
    static constexpr bool has_tiers = true;
    static constexpr bool has_floors = true;
    static constexpr bool has_deadlines = true;
    static constexpr bool has_preemption = true;
};

/// Strict priority of tiers only.
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
