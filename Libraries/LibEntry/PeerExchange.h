#pragma once

#include <LibCore/Address.h>
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

/// Spreads the table, the drains and the list of backend servers between entries, on a thread of its own. An entry
/// announces the versions that it has to its neighbours; whoever has older ones pulls.
/// docs/design/configuration-spread.md gives the reasons.
class PeerExchange {
public:
    struct Settings {
        std::string name;
        /// Entries of the same group share the watching of the platform.
        std::string group;
        /// Its host's share of a core, in thousandths; 0 if not known.
        unsigned processor_permille {0};
        Core::Address address;
        /// Where other entries reach that address, if elsewhere: behind a translation of addresses.
        std::optional<Core::Address> advertised_address;
        /// Where this entry takes datagrams about load; empty for none.
        std::string load_address;
        /// Peer ports of a few other entries, to find the rest from.
        std::vector<Core::Address> seeds;
        /// How often versions are announced when nothing changes.
        Core::Milliseconds announce_interval {10'000};
        /// How often the seeds are asked while there is no table.
        Core::Milliseconds initial_announce_interval {200};
        /// How long the platform's own word is waited for before a peer's is asked for, by an entry that hears the
        /// platform itself.
        Core::Milliseconds pull_delay {0};
    };

    /// What the owner does for the exchange, on its thread.
    struct Events {
        /// A peer brought something newer.
        std::function<void()> on_update;
        /// This gateway is, or is not any more, one of those that watch the platform.
        std::function<void(bool)> on_election {[](bool) {}};
        /// Whether this entry hears the platform itself.
        std::function<bool()> follows_platform {[] { return true; }};
        /// The newest that is known to be somewhere by other words than those of peers.
        std::function<StateVersions()> newest_known {[] { return StateVersions(); }};
    };

    PeerExchange(Settings, zmq::context_t&, SharedTable&, SharedDrains&, SharedServers&, SharedMembership&, Events,
        Observe::MetricRegistry&);
    ~PeerExchange();
    PeerExchange(PeerExchange const&) = delete;
    PeerExchange& operator=(PeerExchange const&) = delete;

    /// Looks soon whether there is something new to announce. Any thread.
    void wake() { m_wake.signal(); }
    /// Whether this entry is one that watches the platform. Any thread.
    [[nodiscard]] bool should_watch() const { return m_should_watch; }
    /// Whether the platform answers this entry. Any thread.
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
    /// Takes what has come to the listener, or on the connection to that address.
    void receive(zmq::socket_t&, std::string const& address);
    /// The frame is what the envelope was read from.
    void handle(Envelope const&, zmq::message_t& frame, PeerOrigin const&);
    void handle_announce(granitefield::protocol::Announce const&, PeerOrigin const&);
    void handle_pull(granitefield::protocol::Pull const&, PeerOrigin const&);
    void handle_table(granitefield::protocol::TableUpdate const&, zmq::message_t& frame);
    void handle_drains(granitefield::protocol::DrainsUpdate const&);
    void handle_servers(granitefield::protocol::ServersUpdate const&, zmq::message_t& frame);
    void pull_if_due(Core::MonotonicTime now);
    void give_table(granitefield::protocol::Pull const&, PeerOrigin const&);
    /// The message that leads from that version to the table.
    [[nodiscard]] zmq::message_t frame_from(Core::TableVersion, std::shared_ptr<Table::Table const> const&);
    void give_drains(granitefield::protocol::Pull const&, PeerOrigin const&);
    void give_servers(granitefield::protocol::Pull const&, PeerOrigin const&);
    /// The message that leads from that revision to the list. Servers that are cold when it is made are told as cold
    /// for as long to whoever gets it later, which errs on the safe side.
    [[nodiscard]] zmq::message_t frame_from(ListRevision, std::shared_ptr<ServerList const> const&);
    void update_connections();
    void update_election(Core::MonotonicTime now);
    /// Whether a connection to a neighbour or a seed is up.
    [[nodiscard]] bool is_connected() const;
    [[nodiscard]] bool is_discovery_complete(Core::MonotonicTime now) const;
    [[nodiscard]] bool is_member_request_due(Core::MonotonicTime now) const;
    /// How often versions are announced when nothing changes.
    [[nodiscard]] Core::Milliseconds usual_announce_interval() const;
    void announce_if_due(Core::MonotonicTime now);
    void announce();
    [[nodiscard]] Envelope make_announcement();
    [[nodiscard]] Core::TableVersion table_version() const;
    [[nodiscard]] StateVersions versions() const;
    [[nodiscard]] Core::Milliseconds pull_delay() const;
    void send(zmq::socket_t&, zmq::message_t);
    /// Sends to where a message came from, if that is still there.
    void send_to(PeerOrigin const&, zmq::message_t);
    void count_out(std::size_t bytes) { m_bytes_out.add(bytes); }

    Settings m_settings;
    zmq::context_t& m_context;
    SharedTable& m_table;
    SharedDrains& m_drains;
    SharedServers& m_servers;
    SharedMembership& m_membership;
    Events m_events;
    Observe::Counter& m_bytes_in;
    Observe::Counter& m_bytes_out;
    Observe::Counter& m_rejected;
    Observe::Gauge& m_known;
    zmq::socket_t m_listener;
    std::uint16_t m_port {0};
    PeerView m_view;
    TableHistory m_history;
    UpdateFrameCache<Core::TableVersion> m_table_frames;
    ServerHistory m_servers_history;
    UpdateFrameCache<ListRevision> m_servers_frames;
    /// Changes have come that lead from another list than the one here.
    bool m_needs_whole_servers {false};
    std::map<std::string, Connection> m_connections;
    PullSchedule m_pulls;
    /// The view's generation that the membership and the connections follow.
    std::uint64_t m_told_generation {0};
    /// What this entry had when it last looked, and when it last announced.
    StateVersions m_seen;
    StateVersions m_announced;
    bool m_announced_reachable {true};
    Core::MonotonicTime m_next_announcement;
    /// What an entry learns after its start it learns while it runs.
    Core::RunningTime m_running {Core::monotonic_now()};
    /// How long a gateway has run when it asks for members next.
    std::optional<Core::Milliseconds> m_next_member_request;
    bool m_is_seed {false};
    std::atomic<bool> m_is_platform_reachable {true};
    std::atomic<bool> m_should_watch {true};
    Core::WakeEvent m_wake;
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

}
