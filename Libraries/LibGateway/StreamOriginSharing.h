#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/SharedServers.h>
#include <LibGateway/ListConfirmation.h>
#include <LibGateway/OutgoingDatagram.h>
#include <LibGateway/StreamArchive.h>
#include <LibGateway/StreamOrigins.h>
#include <LibGateway/VersionHistory.h>
#include <LibPolicy/TokenBucket.h>

#include <Peers.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Finds out at which software version a stream began that a caller resumes here, whichever gateway began it.
///
/// A gateway announces a stream with its first event to the few gateways that rendezvous hashing assigns to the stream.
/// The gateway at which the caller resumes it asks these. Announcements are rationed while one version serves: a stream
/// that nobody knows then began at the only version, if the store confirms that this gateway knows all versions. With
/// several versions it is never guessed.
/// docs/design/stream-versions.md compares the alternatives. No I/O and no clock.
class StreamOriginSharing {
public:
    using Message = granitefield::protocol::StreamNews;

    /// Number of gateways that a stream is announced to, besides the one that began it.
    static constexpr std::size_t s_holders = 2;
    /// Number of gateways that are asked: the holders, also if the one that asks and the one that began the stream rank
    /// before them, and one more in place of a gateway that has just joined.
    static constexpr std::size_t s_asked = 4;
    static constexpr Core::Milliseconds s_query_interval {100};
    static constexpr Core::Milliseconds s_lookup_timeout {400};
    /// Time for which a lookup waits for the store to confirm the list of servers.
    static constexpr Core::Milliseconds s_confirmation_timeout {600};
    /// Announcements per second of streams of services with a single version.
    static constexpr double s_spare_rate = 8;
    static constexpr double s_spare_burst = 40;
    /// Age up to which streams are announced once a second version of their service appears.
    static constexpr Core::Milliseconds s_withholding_time {120'000};
    /// Bounds on the content of a datagram.
    static constexpr std::size_t s_max_streams = 500;
    static constexpr std::size_t s_max_lookups = 4'096;

    enum class Status : std::uint8_t {
        Pending,
        /// A gateway knows the stream.
        Known,
        /// No gateway knows the stream, and a single version has served since it can have begun.
        OnlyVersion,
        Unknown,
    };
    struct Resolution {
        Status status {Status::Unknown};
        std::string software_version;
    };

    /// Streams are archived while several versions of their service serve; null for no archive. Without `confirmation`
    /// no version is inferred.
    explicit StreamOriginSharing(StreamArchive* archive = nullptr, ListConfirmation* confirmation = nullptr)
        : m_archive(archive)
        , m_confirmation(confirmation)
    {
    }

    void set_members(Entry::LoadMembers const&);
    /// Records the newest list of servers.
    void apply(Entry::ServerList const&, Core::MonotonicTime now);

    /// Records the first event of a stream that this gateway forwards.
    void note_begun(StreamKey, StreamOrigin const&, Core::MonotonicTime now);

    /// Returns the version at which the stream began, at most `period` ago. To be called again while it is pending.
    [[nodiscard]] Resolution resolve(
        StreamKey, std::string const& service, Core::Milliseconds period, Core::MonotonicTime now);

    [[nodiscard]] static bool is_within_bounds(Message const&);
    void receive(Message const&, std::string const& from, Core::MonotonicTime now);
    /// Adds the announcements that are due. To be called at each tick of the load exchange.
    void tick(Core::MonotonicTime now);
    /// Returns the messages to send now, by address. They need not wait for the next tick.
    [[nodiscard]] std::map<std::string, Message> take_messages() { return std::exchange(m_messages, {}); }

    [[nodiscard]] std::size_t known_count() const { return m_origins.size(); }

private:
    /// Number of times that a stream is announced, since datagrams get lost.
    static constexpr unsigned s_announcements = 3;

    struct Announcement {
        StreamKey stream;
        unsigned left {s_announcements};
    };
    /// A stream that began while its service had a single version.
    struct RecentStream {
        StreamKey stream;
        Core::MonotonicTime begun;
        bool is_announced {false};
    };
    struct Lookup {
        std::string service;
        Core::Milliseconds period {0};
        Core::MonotonicTime started;
        Core::MonotonicTime next_query;
        std::vector<std::string> asked;
        /// When the confirmation of the list of servers was requested.
        std::optional<Core::MonotonicTime> confirming_since;
        /// Answers of gateways that do not know the stream, by address.
        std::map<std::string, RecentVersions> answers;
    };

    [[nodiscard]] std::vector<std::string> ranked_members(StreamKey, std::size_t count) const;
    void query(StreamKey, Lookup&, Core::MonotonicTime now);
    void answer(granitefield::protocol::StreamQuery const&, std::string const& from, Core::MonotonicTime now);
    /// Announces the stream now and in the next ticks.
    void announce(StreamKey, StreamOrigin const&);
    void schedule(Announcement);
    void send_to_holders(StreamKey, StreamOrigin const&);
    /// Announces and archives the streams that began while their service had a single version.
    void announce_recent(std::string const& service);
    [[nodiscard]] Resolution infer(Lookup const&, Core::MonotonicTime now) const;
    /// Returns the inferred version once the list of servers is known to be newer than the lookup.
    [[nodiscard]] Resolution infer_confirmed(Lookup&, Core::MonotonicTime now);
    void take_confirmations(Core::MonotonicTime now);
    [[nodiscard]] bool is_list_confirmed(Core::MonotonicTime as_of) const;
    static void add_begun(Message&, StreamKey, StreamOrigin const&);
    /// Records streams of earlier lives of the fleet, and announces them.
    void apply_loaded(Core::MonotonicTime now);

    StreamArchive* m_archive;
    ListConfirmation* m_confirmation;
    /// The newest one; its versions are in the history.
    std::optional<ListConfirmation::Result> m_confirmed;
    Entry::ListRevision m_list_revision;
    StreamOrigins m_origins;
    VersionHistory m_versions;
    Policy::TokenBucket m_spare {s_spare_rate, s_spare_burst};
    /// Unset before discovery.
    std::optional<std::vector<std::string>> m_peers;
    bool m_has_had_peers {false};
    std::deque<Announcement> m_announcements;
    /// Streams that began at this gateway while their service had a single version, by service.
    std::map<std::string, std::deque<RecentStream>> m_recent;
    absl::flat_hash_map<StreamKey, Lookup> m_lookups;
    std::map<std::string, Message> m_messages;
};

[[nodiscard]] std::string_view to_string(StreamOriginSharing::Status);

}
