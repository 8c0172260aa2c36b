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
    /// When it was first stated. All gateways count the terms of its senders from then on.
    Core::MonotonicTime since;
};

/// Divides the rate limits of backend servers among the gateways, without a message for each request.
///
/// Few gateways at a time, the senders, have a share of a limit: with an equal share for each of many, their first
/// requests alone would exceed a small limit. Senders change with each term, so that a server whose senders have no
/// requests for it does not stay unused. A gateway that does not know the others has no share. No I/O and no clock.
class LimitShares {
public:
    void set_gateways(std::uint64_t self, std::vector<std::uint64_t> others);
    void forget_gateways() { m_ranks.forget(); }

    /// Number of gateways among which limits are divided, this one included; 0 before the others are known.
    [[nodiscard]] std::size_t known_gateways() const { return m_ranks.is_known() ? m_ranks.count() : 0; }

    /// The earliest time from `now` on at which this gateway may send the server a request; never, by the clock's last
    /// time, while it does not know the others.
    [[nodiscard]] Core::MonotonicTime next_send(
        std::uint64_t server, SharedRateLimit const&, Core::MonotonicTime now) const;
    [[nodiscard]] bool may_send(std::uint64_t server, SharedRateLimit const& limit, Core::MonotonicTime now) const
    {
        return next_send(server, limit, now) <= now;
    }
    /// It has sent one.
    void note_sent(std::uint64_t server, SharedRateLimit const&, Core::MonotonicTime now);

    /// Number of gateways among so many that send at the same time to a server with that limit.
    [[nodiscard]] static std::size_t senders_for(double rate, std::size_t gateways);

private:
    using Duration = std::chrono::duration<double>;

    /// How a limit is divided.
    struct Division {
        std::size_t senders {0};
        /// Between two requests of one sender, on average.
        Duration interval {0};
        /// By how much a request may come before its time, so that requests that arrive together need not wait.
        Duration tolerance {0};
        /// How long the same gateways are senders.
        Duration term {0};
    };

    [[nodiscard]] Division divide(double rate) const;
    /// This gateway's place among the senders of that term; the number of senders or more when it is none.
    [[nodiscard]] std::size_t rank_in(std::uint64_t server, Division const&, std::int64_t term) const;
    /// The earliest time within the term, or its end when there is none.
    [[nodiscard]] Core::MonotonicTime first_send_in(
        std::uint64_t server, SharedRateLimit const&, Division const&, std::int64_t term) const;
    [[nodiscard]] static Core::MonotonicTime begin_of(SharedRateLimit const&, Division const&, std::int64_t term);

    GatewayRanks m_ranks;
    /// When the next request to each server would be sent at exactly this gateway's share of the limit.
    absl::flat_hash_map<std::uint64_t, Core::MonotonicTime> m_next_due;
};

}
