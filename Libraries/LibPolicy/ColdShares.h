#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/GatewayRanks.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Shares out among gateways what backend servers bear while they are cold. The load that it answers: servers of a
/// whole failure domain that come back at once, empty, so that each of many gateways finds them the best; a cold server
/// falls over under what all send together, and none sees the sum.
///
/// Rendezvous hashing names a few gateways for each server, alike at all who know the same gateways, and only these
/// send there, each one request a second. What is sent is so bounded by what each of them knows of itself: no view of
/// others' loads, which is always late, has a part in it. In no second more is sent than the rate says; gateways that
/// know different others name a few more senders between them. Who does not know the others yet sends nothing.
/// No I/O and no clock.
class ColdShares {
public:
    /// Requests a second that a server bears from all gateways together.
    using Rate = double;

    /// The gateways that are known, by numbers that all know them by; nobody sends before they are known.
    void set_gateways(std::uint64_t self, std::vector<std::uint64_t> others);
    void forget_gateways() { m_ranks.forget(); }

    /// Whether this gateway may send the cold server a request now.
    [[nodiscard]] bool may_send(std::uint64_t server, Rate, Core::MonotonicTime now) const;
    /// It has sent one.
    void note_sent(std::uint64_t server, Core::MonotonicTime now);

    /// Gateways that send to a cold server which bears that rate: as many as it bears requests a second, so that one
    /// that is gone or has few requests leaves little of it unused.
    [[nodiscard]] static std::size_t senders_for(Rate);

private:
    /// The least time between two requests of one sender.
    [[nodiscard]] static std::chrono::duration<double> interval(Rate);

    GatewayRanks m_ranks;
    absl::flat_hash_map<std::uint64_t, Core::MonotonicTime> m_last_sent;
};

}
