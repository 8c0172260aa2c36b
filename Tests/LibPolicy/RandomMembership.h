#pragma once

#include <LibCore/Hashing.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace GraniteField::Policy {

/// Returns the number that identifies this gateway at all gateways of a simulated fleet.
[[nodiscard]] inline std::uint64_t gateway_number(std::size_t gateway)
{
    return Core::mix(gateway, 7);
}

/// Returns the peers that a gateway of a simulated fleet knows. Each is omitted with the probability
/// `unknown_fraction`.
[[nodiscard]] inline std::vector<std::uint64_t> draw_known_peers(
    std::size_t gateway, std::size_t gateways, double unknown_fraction, std::mt19937& random)
{
    std::bernoulli_distribution is_unknown(unknown_fraction);
    std::vector<std::uint64_t> peers;
    for (std::size_t peer = 0; peer < gateways; ++peer) {
        if (peer != gateway && !is_unknown(random))
            peers.push_back(gateway_number(peer));
    }
    return peers;
}

}
