#pragma once

#include "Scenario.h"

#include <cstdint>
#include <vector>

namespace GraniteField::Load {

/// One request that will be sent, whatever has become of the ones before it.
struct Arrival {
    Core::Microseconds at {0};
    std::size_t stream {0};
    unsigned workspace {0};
    unsigned tokens {1};
    unsigned prefix {0};
};

/// All arrivals of a scenario in the order of time; the same for the same seed. `load` multiplies every rate.
[[nodiscard]] std::vector<Arrival> make_schedule(Scenario const&, std::uint64_t seed, double load);

}
