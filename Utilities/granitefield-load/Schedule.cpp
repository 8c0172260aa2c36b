#include "Schedule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace GraniteField::Load {

namespace {

double rate_at(Stream const& stream, Core::Microseconds time)
{
    double rate = stream.per_second;
    for (auto const& phase : stream.phases) {
        if (time >= phase.from && time < phase.to)
            rate *= phase.factor;
    }
    return rate;
}

double highest_rate(Stream const& stream)
{
    double highest = stream.per_second;
    for (auto const& phase : stream.phases)
        highest = std::max(highest, rate_at(stream, phase.from));
    return highest;
}

/// Arrivals of one stream: a Poisson process at the highest rate, thinned to the rate of each moment.
void add_stream(
    std::vector<Arrival>& arrivals, Scenario const& scenario, std::size_t index, std::uint64_t seed, double load)
{
    auto const& stream = scenario.streams[index];
    auto const highest = highest_rate(stream) * load;
    if (highest <= 0)
        return;
    std::mt19937_64 random(seed * 1'000'003 + index);
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> chance(0, 1);
    std::lognormal_distribution<double> length(std::log(stream.median_tokens), stream.sigma);
    std::vector<double> shares;
    for (unsigned rank = 1; rank <= stream.workspaces; ++rank)
        shares.push_back(1 / std::pow(rank, stream.skew));
    std::discrete_distribution<unsigned> workspace(shares.begin(), shares.end());
    std::uniform_int_distribution<unsigned> prefix(0, stream.prefixes - 1);
    double seconds = 0;
    while (true) {
        seconds += gap(random);
        Core::Microseconds const at(static_cast<std::int64_t>(seconds * 1e6));
        if (at >= scenario.length)
            return;
        // Every arrival draws the same numbers whether it is kept or not, so that a phase does not change others.
        auto const draw = chance(random);
        auto const tokens = std::clamp(length(random), 1.0, static_cast<double>(stream.most_tokens));
        Arrival const arrival {at, index, workspace(random), static_cast<unsigned>(tokens), prefix(random)};
        if (draw * highest < rate_at(stream, at) * load)
            arrivals.push_back(arrival);
    }
}

}

std::vector<Arrival> make_schedule(Scenario const& scenario, std::uint64_t seed, double load)
{
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < scenario.streams.size(); ++index)
        add_stream(arrivals, scenario, index, seed, load);
    std::ranges::stable_sort(arrivals, {}, [](auto const& arrival) { return arrival.at; });
    return arrivals;
}

}
