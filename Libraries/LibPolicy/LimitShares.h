#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/GatewayRanks.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// A rate limit that a backend server states for all gateways together.
struct SharedRateLimit {
    /// Requests per second.
    double rate {0};
    /// When it was first stated; terms of senders are counted from then on.
    Core::MonotonicTime since;
};

/// Divides the rate limits of backend servers among the gateways without a message for each request.
///
/// Only a few gateways at a time, the senders, have a share of a limit: if each of many gateways had one, their first
/// requests alone would exceed a small limit. Senders change with each term, so that a server is not left idle because
/// its senders have no requests for it. A gateway that does not know the membership has no share. No I/O and no clock.
class LimitShares {
public:
    void set_gateways(std::uint64_t self, std::vector<std::uint64_t> peers);
    void forget_gateways() { m_ranks.forget(); }

    /// Number of gateways among which limits are divided, this one included; 0 while the membership is unknown.
    [[nodiscard]] std::size_t known_gateways() const { return m_ranks.is_known() ? m_ranks.count() : 0; }

    /// The earliest time from `now` on at which this gateway may send a request to the server; MonotonicTime::max()
    /// while the membership is unknown.
    [[nodiscard]] Core::MonotonicTime next_send(
        std::uint64_t server, SharedRateLimit const&, Core::MonotonicTime now) const;
    [[nodiscard]] bool may_send(std::uint64_t server, SharedRateLimit const& limit, Core::MonotonicTime now) const
    {
        return next_send(server, limit, now) <= now;
    }
    /// Records a request to the server.
    void note_sent(std::uint64_t server, SharedRateLimit const&, Core::MonotonicTime now);

    /// Mean time between two requests of all gateways at that rate.
    [[nodiscard]] static std::chrono::duration<double> mean_interval(double rate);
    /// Number of senders for a limit of that rate.
    [[nodiscard]] static std::size_t senders_for(double rate, std::size_t gateways);

private:
    using Duration = std::chrono::duration<double>;

    /// How a limit is divided.
    struct Division {
        std::size_t senders {0};
        /// Mean time between two requests of one sender.
        Duration interval {0};
        /// How much earlier a request may be sent, so that a small burst does not wait.
        Duration tolerance {0};
        /// Time for which the set of senders stays the same.
        Duration term {0};
    };

    [[nodiscard]] Division divide(double rate) const;
    /// This gateway's rank in that term. Ranks below the number of senders are those of senders.
    [[nodiscard]] std::size_t rank_in(std::uint64_t server, Division const&, std::int64_t term) const;
    /// The earliest time for a request within the term, or the end of the term if there is none.
    [[nodiscard]] Core::MonotonicTime first_send_in(
        std::uint64_t server, SharedRateLimit const&, Division const&, std::int64_t term) const;
    [[nodiscard]] static Core::MonotonicTime start_of(SharedRateLimit const&, Division const&, std::int64_t term);

    GatewayRanks m_ranks;
    /// Theoretical arrival time of the next request to each server (generic cell rate algorithm).
    absl::flat_hash_map<std::uint64_t, Core::MonotonicTime> m_next_due;
};

}
