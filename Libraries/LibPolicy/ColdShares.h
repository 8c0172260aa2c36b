#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/GatewayRanks.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Limits the rate of requests from all gateways to a backend server while it is cold. The case behind it: the servers
/// of a whole failure domain restart at once and are idle, so that each of many gateways prefers them; a cold server
/// is then overloaded by the sum, which no gateway sees.
///
/// Rendezvous hashing selects a few gateways as senders for each server, the same ones at all gateways with the same
/// view of the membership, and each sender sends at most one request per second. The limit depends only on a gateway's
/// own sends and not on load reports of others, which are always late. The total never exceeds the rate in any second;
/// gateways with different views of the membership select a few senders more. A gateway that does not know the
/// membership sends nothing. No I/O and no clock.
class ColdShares {
public:
    /// Requests per second that a server can take from all gateways together.
    using Rate = double;

    /// Sets the known gateways. All gateways use the same numbers for them.
    void set_gateways(std::uint64_t self, std::vector<std::uint64_t> peers);
    void forget_gateways() { m_ranks.forget(); }

    /// Whether this gateway may send a request to the cold server now.
    [[nodiscard]] bool may_send(std::uint64_t server, Rate, Core::MonotonicTime now) const;
    /// Records a request to the server.
    void note_sent(std::uint64_t server, Core::MonotonicTime now);

    /// Number of senders for a cold server with that rate: one for each request per second, so that a sender that is
    /// down or has few requests leaves little of the rate unused.
    [[nodiscard]] static std::size_t senders_for(Rate);

private:
    /// Minimum time between two requests of one sender.
    [[nodiscard]] static std::chrono::duration<double> min_interval(Rate);

    GatewayRanks m_ranks;
    absl::flat_hash_map<std::uint64_t, Core::MonotonicTime> m_last_sent;
};

}
