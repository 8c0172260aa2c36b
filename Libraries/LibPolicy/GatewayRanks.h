#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Orders the known gateways by rendezvous hashing, with a different order for each key. Gateways with the same view of
/// the membership agree on the order without communicating, and a change of the membership does not reorder the rest.
class GatewayRanks {
public:
    /// Gateways are identified by numbers that all of them use.
    void set(std::uint64_t self, std::vector<std::uint64_t> peers);
    /// The membership is unknown until set() is called again.
    void forget() { m_is_known = false; }
    [[nodiscard]] bool is_known() const { return m_is_known; }

    /// Number of gateways, this one included.
    [[nodiscard]] std::size_t count() const { return m_peers.size() + 1; }
    /// Number of gateways that come before this one in the key's order.
    [[nodiscard]] std::size_t rank_for(std::uint64_t key) const;

private:
    bool m_is_known {false};
    std::uint64_t m_self {0};
    std::vector<std::uint64_t> m_peers;
    mutable absl::flat_hash_map<std::uint64_t, std::size_t> m_ranks;
};

}
