#pragma once

#include <LibCore/Address.h>
#include <LibCore/ListenRetry.h>
#include <LibCore/RunningTime.h>
#include <LibCore/Time.h>
#include <LibCore/WakeEvent.h>
#include <LibEntry/PeerView.h>
#include <LibEntry/PullSchedule.h>
#include <LibEntry/ServerChanges.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/SharedServers.h>
#include <LibEntry/SharedTable.h>
#include <LibEntry/StateVersions.h>
#include <LibEntry/TableHistory.h>
#include <LibEntry/UpdateFrameCache.h>
#include <LibObserve/Metrics.h>

#include <Peers.pb.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <zmq.hpp>

namespace GraniteField::Entry {

/// Exchanges the table, the drains and the list of backend servers with other entries, on a thread of its own. Each
/// entry announces its versions to its neighbours; an entry with older versions pulls the newer ones.
/// docs/design/configuration-spread.md gives the reasons.
class PeerExchange {
public:
    struct Settings {
        std::string name;
        /// Entries of the same group divide the watching of the platform among themselves.
        std::string group;
        /// Processor time available to the host, in thousandths of a core; 0 if unknown.
        unsigned processor_permille {0};
        Core::Address address;
        Core::ListenRetry listen;
        /// Address at which other entries reach this one, if it differs, for example behind network address
        /// translation.
        std::optional<Core::Address> advertised_address;
        /// Address that receives load datagrams; empty for none.
        std::string load_address;
        /// Peer addresses of a few other entries, used to discover the rest.
        std::vector<Core::Address> seeds;
        /// Interval of announcements while nothing changes.
        Core::Milliseconds announce_interval {10'000};
        /// Interval of announcements until the first table has arrived.
        Core::Milliseconds initial_announce_interval {200};
        /// Delay before pulling from a peer, for an entry that follows the platform itself and may receive the update
        /// from there.
        Core::Milliseconds pull_delay {0};
    };

    /// Callbacks to the owner, called on the thread of the exchange.
    struct Events {
        /// A newer version was received from a peer.
        std::function<void()> on_update;
        /// Reports with each tick whether this gateway is elected to watch the platform.
        std::function<void(bool)> on_election {[](bool) {}};
        /// Whether this entry follows the platform itself.
        std::function<bool()> follows_platform {[] { return true; }};
        /// The newest versions known from sources other than peer announcements.
        std::function<StateVersions()> newest_known {[] { return StateVersions(); }};
    };

    PeerExchange(Settings, zmq::context_t&, SharedTable&, SharedDrains&, SharedServers&, SharedMembership&, Events,
        Observe::MetricRegistry&);
    ~PeerExchange();
    PeerExchange(PeerExchange const&) = delete;
    PeerExchange& operator=(PeerExchange const&) = delete;

    /// Wakes the thread to check for versions to announce. Any thread.
    void wake() { m_wake.signal(); }
    /// Whether this entry is elected to watch the platform. Any thread.
    [[nodiscard]] bool should_watch() const { return m_should_watch; }
    /// Records whether this entry can reach the platform. Any thread.
    void set_platform_reachable(bool value);
    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    using Envelope = granitefield::protocol::PeerEnvelope;

    /// A connection to a neighbour or a seed.
    struct Connection {
        std::unique_ptr<zmq::socket_t> socket;
        bool is_wanted {false};
    };

    void run();
    void wait_for_messages();
    /// Receives pending messages from the listener, or from the connection to that address.
    void receive(zmq::socket_t&, std::string const& address);
    /// `frame` holds the serialized envelope.
    void handle(Envelope const&, zmq::message_t& frame, PeerOrigin const&);
    /// Ignores a record whose address can't be connected to.
    void note_peer(granitefield::protocol::PeerRecord const&, Core::MonotonicTime now);
    void handle_announce(granitefield::protocol::Announce const&, PeerOrigin const&);
    void handle_pull(granitefield::protocol::Pull const&, PeerOrigin const&);
    void handle_table(granitefield::protocol::TableUpdate const&, zmq::message_t& frame);
    void handle_drains(granitefield::protocol::DrainsUpdate const&);
    void handle_servers(granitefield::protocol::ServersUpdate const&, zmq::message_t& frame);
    void pull_if_due(Core::MonotonicTime now);
    void send_table(granitefield::protocol::Pull const&, PeerOrigin const&);
    /// Returns the update from that version to the table, serialized. From a version that is not in the history, it
    /// holds the whole table.
    [[nodiscard]] zmq::message_t make_update_frame(Core::TableVersion, std::shared_ptr<Table::Table const> const&);
    void send_drains(granitefield::protocol::Pull const&, PeerOrigin const&);
    void send_servers(granitefield::protocol::Pull const&, PeerOrigin const&);
    /// Returns the update from that revision to the list, serialized. The remaining cold times in it are those of when
    /// it was made; for peers that receive a cached update later they are too long, which is safe.
    [[nodiscard]] zmq::message_t make_update_frame(ListRevision, std::shared_ptr<ServerList const> const&);
    void update_connections();
    /// Returns null if the socket can't be had now.
    [[nodiscard]] std::unique_ptr<zmq::socket_t> connect(std::string const& address);
    void update_election(Core::MonotonicTime now);
    /// Whether any connection to a neighbour or a seed is up.
    [[nodiscard]] bool is_connected() const;
    [[nodiscard]] bool is_discovery_complete(Core::MonotonicTime now) const;
    [[nodiscard]] bool is_member_request_due(Core::MonotonicTime now) const;
    /// Interval of announcements while nothing changes. Longer in a process that runs late.
    [[nodiscard]] Core::Milliseconds steady_announce_interval() const;
    void announce_if_due(Core::MonotonicTime now);
    void announce();
    [[nodiscard]] Envelope make_announcement();
    [[nodiscard]] Core::TableVersion table_version() const;
    [[nodiscard]] StateVersions versions() const;
    [[nodiscard]] Core::Milliseconds pull_delay() const;
    void send(zmq::socket_t&, zmq::message_t);
    /// Replies to the origin of a message, if the connection is still open.
    void send_to(PeerOrigin const&, zmq::message_t);
    void count_sent_bytes(std::size_t bytes) { m_bytes_out.add(bytes); }

    Settings m_settings;
    zmq::context_t& m_context;
    SharedTable& m_table;
    SharedDrains& m_drains;
    SharedServers& m_servers;
    SharedMembership& m_membership;
    Events m_events;
    Observe::Counter& m_bytes_in;
    Observe::Counter& m_bytes_out;
    Observe::Counter& m_rejected_messages;
    Observe::Gauge& m_peer_count;
    zmq::socket_t m_listener;
    std::uint16_t m_port {0};
    PeerView m_view;
    TableHistory m_history;
    UpdateFrameCache<Core::TableVersion> m_table_frames;
    ServerHistory m_servers_history;
    UpdateFrameCache<ListRevision> m_servers_frames;
    /// Set when received changes did not apply to the list here; the next pull asks for the whole list.
    bool m_needs_whole_servers {false};
    std::map<std::string, Connection> m_connections;
    PullSchedule m_pulls;
    /// Generation of the view that the membership and the connections reflect.
    std::uint64_t m_applied_generation {0};
    /// Versions at the last tick, and at the last announcement.
    StateVersions m_last_versions;
    StateVersions m_announced_versions;
    bool m_announced_reachable {true};
    Core::MonotonicTime m_next_announcement;
    /// Time that this process has run. Stalls are not counted, since no messages are processed during them.
    Core::RunningTime m_running {Core::monotonic_now()};
    /// Running time at which this gateway next requests members.
    std::optional<Core::Milliseconds> m_next_member_request;
    bool m_is_seed {false};
    /// A connection could not be made at the last tick.
    bool m_must_connect {false};
    std::atomic<bool> m_is_platform_reachable {true};
    std::atomic<bool> m_should_watch {true};
    Core::WakeEvent m_wake;
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

}
