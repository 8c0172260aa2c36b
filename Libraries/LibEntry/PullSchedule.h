#pragma once

#include <LibCore/Time.h>
#include <LibEntry/StateVersions.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace GraniteField::Entry {

/// Origin of a peer's message, and destination of the reply.
struct PeerOrigin {
    /// Routing id of the peer for a message received by the listener; empty for a connection that this entry opened.
    std::string route;
    /// Address of the peer for a connection that this entry opened.
    std::string address;

    bool operator==(PeerOrigin const&) const = default;
};

/// Decides when to pull newer versions, and from which peer. Many peers announce the same update and a whole list can
/// be large, so that only one pull is in flight at a time. An entry that also follows the platform waits for a delay
/// first, since a pull would only transfer the same update twice. No I/O.
///
/// Every peer that announced something newer is kept until this entry has it: a peer may be killed, partitioned or
/// overloaded between its announcement and its reply. The others announce again only seconds later, since the update
/// has reset their timers. A peer that does not reply therefore delays an update by no more than the timeout of a pull.
class PullSchedule {
public:
    /// Time after which a pull without a reply is abandoned. Peers reply within a round trip.
    static constexpr Core::Milliseconds s_pull_timeout {500};
    /// Interval at which an entry that is behind, and knows of no peer that is ahead, queries all neighbours.
    /// Announcements of ordinary updates arrive within some 100 ms, so that no query is needed.
    static constexpr Core::Milliseconds s_query_interval {300};
    /// Number of peers kept as ahead. A gateway in a fleet of the target size has ten neighbours in each direction.
    static constexpr std::size_t s_max_offers = 32;

    /// Records an announcement of a peer.
    void note_offer(PeerOrigin, StateVersions const&);
    /// Records the newest versions that any peer is known to have.
    void note_newest_known(StateVersions const& wanted) { m_newest_known = wanted; }
    /// Records that a newer version was received, from a peer or from the platform.
    void note_update();

    /// Returns the peer to pull from now; nothing if no pull is due. `delay` is the time left for the platform's own
    /// update to arrive.
    [[nodiscard]] std::optional<PeerOrigin> next(
        StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds delay);
    /// Whether to query the neighbours now for one that is ahead.
    [[nodiscard]] bool should_query_neighbours(
        StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds delay);

private:
    struct Offer {
        PeerOrigin origin;
        StateVersions versions;
        bool was_pulled {false};
    };

    void remove_satisfied_offers(StateVersions const& own);
    /// Whether this entry has been behind for the delay.
    [[nodiscard]] bool has_delay_passed(StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds delay);
    [[nodiscard]] Offer* best_offer();

    std::vector<Offer> m_offers;
    StateVersions m_newest_known;
    std::optional<Core::MonotonicTime> m_behind_since;
    std::optional<Core::MonotonicTime> m_pulled_at;
    std::optional<Core::MonotonicTime> m_queried_at;
};

}
