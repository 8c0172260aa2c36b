#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <chrono>
#include <cmath>

/// What a placement costs, in one currency: the expected share of one request's worth that is lost by it, summed over
/// the request itself and the requests that it disturbs.
namespace GraniteField::Policy {

using FineTime = std::chrono::duration<double, std::milli>;

/// Probability that something estimated to take `estimate` takes longer than `limit`: log-logistic, one half where both
/// are equal. It never stops rising with the estimate, so that of two full servers the less full one is still better.
[[nodiscard]] inline double probability_of_exceeding(FineTime estimate, FineTime limit, double steepness)
{
    if (estimate.count() <= 0)
        return 0;
    if (limit.count() <= 0)
        return 1;
    return 1 / (1 + std::pow(limit / estimate, steepness));
}

/// What a request loses by the time until its first piece.
struct LatenessLoss {
    /// Share of its worth that a late answer still has. The table has no column for it; a late answer is read by most
    /// callers, but no longer does what it was asked for.
    static constexpr double s_late_worth = 0.3;
    /// Waits are predicted within a factor of about two: of those predicted at half of the limit one in nine exceeds
    /// it.
    static constexpr double s_steepness = 3;

    /// Since the caller's request came.
    FineTime elapsed {0};
    /// Within it the answer has its full worth.
    FineTime target {0};
    /// Beyond it the caller has left; zero if not known.
    FineTime patience {0};

    /// Expected loss where the first piece is predicted after a further `wait`.
    [[nodiscard]] double at(FineTime wait) const
    {
        auto const total = elapsed + wait;
        auto const late = probability_of_exceeding(total, target, s_steepness);
        auto const gone = probability_of_exceeding(total, std::max(patience, target), s_steepness);
        return (1 - s_late_worth) * late + s_late_worth * gone;
    }
};

}
