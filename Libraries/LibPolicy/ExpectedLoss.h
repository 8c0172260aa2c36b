#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <chrono>
#include <cmath>

/// Cost of a placement: the expected loss of value, in units of the value of one request, summed over the request
/// itself and the requests that it delays.
namespace GraniteField::Policy {

using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

/// Probability that a time estimated at `estimate` exceeds `limit`: log-logistic, one half where both are equal. It
/// rises strictly with the estimate, so that of two full servers the less loaded one still costs less.
[[nodiscard]] inline double probability_of_exceeding(
    FractionalMilliseconds estimate, FractionalMilliseconds limit, double steepness)
{
    if (estimate.count() <= 0)
        return 0;
    if (limit.count() <= 0)
        return 1;
    return 1 / (1 + std::pow(limit / estimate, steepness));
}

/// Loss of a request's value caused by the time to the first chunk of its answer.
struct LatenessLoss {
    /// Fraction of the value that a late answer still has. Most callers still read a late answer, but it no longer
    /// serves its purpose. The table has no column for this fraction.
    static constexpr double s_late_value = 0.3;
    /// Waits are predicted within a factor of about two: one in nine of those predicted at half of the limit exceeds
    /// it.
    static constexpr double s_steepness = 3;

    /// Time since the request was received.
    FractionalMilliseconds elapsed {0};
    /// Time to the first chunk up to which the answer has its full value.
    FractionalMilliseconds target {0};
    /// Time to the first chunk after which the caller has disconnected; zero if unknown.
    FractionalMilliseconds caller_timeout {0};

    /// Returns the expected loss if the first chunk is predicted after a further `wait`.
    [[nodiscard]] double expected_loss(FractionalMilliseconds wait) const
    {
        auto const total = elapsed + wait;
        auto const late = probability_of_exceeding(total, target, s_steepness);
        auto const caller_left = probability_of_exceeding(total, std::max(caller_timeout, target), s_steepness);
        return (1 - s_late_value) * late + s_late_value * caller_left;
    }
};

}
