#pragma once

#include <LibCore/Hashing.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace GraniteField::Policy {

/// The number by which all gateways of a simulated fleet know this one.
[[nodiscard]] inline std::uint64_t order_of(std::size_t gateway)
{
    return Core::mix(gateway, 7);
}

/// The other gateways that a gateway of a simulated fleet knows. Each is left out with the probability `unknown`.
[[nodiscard]] inline std::vector<std::uint64_t> draw_known_others(
    std::size_t gateway, std::size_t gateways, double unknown, std::mt19937& random)
{
    std::bernoulli_distribution is_unknown(unknown);
    std::vector<std::uint64_t> others;
    for (std::size_t other = 0; other < gateways; ++other) {
        if (other != gateway && !is_unknown(random))
            others.push_back(order_of(other));
    }
    return others;
}

}
