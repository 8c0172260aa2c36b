#pragma once

#include <LibCore/Time.h>
#include <LibEntry/StateVersions.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace GraniteField::Entry {

/// Where a peer's message came from, and where one to it goes.
struct PeerOrigin {
    /// The way back of one that came to the listener; empty for a connection of one's own.
    std::string route;
    /// Whom such a connection leads to.
    std::string address;

    bool operator==(PeerOrigin const&) const = default;
};

/// Says when to ask which peer for what it has beyond one's own. Many peers announce the same news, and a whole list
/// may be long: so one pull is under way at a time. And whoever also hears the news from the platform itself leaves
/// that some time, since a pull then only brings the same twice. No I/O.
///
/// Everyone who has announced something newer is remembered until it is here: a peer may be killed, cut or too busy
/// between its word and its answer. The others announce again only seconds later, since the news has set the timers of
/// all of them anew; so a mute peer delays a change by no more than the limit of its answer.
class PullSchedule {
public:
    /// A pull without an answer for this long is given up; peers answer within a round trip.
    static constexpr Core::Milliseconds s_pull_timeout {500};
    /// Who knows from others' word that it is behind, and of no peer that is ahead, asks all neighbours this often.
    /// Ordinary news come with an announcement within some 100 ms, so that nobody has to ask for them.
    static constexpr Core::Milliseconds s_query_interval {300};
    /// Peers that are remembered as ahead; a gateway of the target size has ten neighbours each way.
    static constexpr std::size_t s_max_offers = 32;

    /// A peer has announced these versions.
    void note_offer(PeerOrigin, StateVersions const&);
    /// These versions are known to be at some peer.
    void note_newest_known(StateVersions const& wanted) { m_newest_known = wanted; }
    /// Something newer has come, from a peer or from the platform.
    void note_update();

    /// Whom to pull from now, when the platform's own word is waited for so long; nobody if there is no need.
    [[nodiscard]] std::optional<PeerOrigin> next(
        StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds patience);
    /// Whether to ask the neighbours now who is ahead.
    [[nodiscard]] bool should_query_neighbours(
        StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds patience);

private:
    struct Offer {
        PeerOrigin origin;
        StateVersions versions;
        bool was_pulled {false};
    };

    void remove_satisfied_offers(StateVersions const& own);
    /// Whether the platform's own word has been waited for long enough.
    [[nodiscard]] bool has_delay_passed(StateVersions const& own, Core::MonotonicTime now, Core::Milliseconds patience);
    [[nodiscard]] Offer* best_offer();

    std::vector<Offer> m_offers;
    StateVersions m_newest_known;
    std::optional<Core::MonotonicTime> m_behind_since;
    std::optional<Core::MonotonicTime> m_pulled_at;
    std::optional<Core::MonotonicTime> m_queried_at;
};

}
