#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/WatchElection.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/CrashSharing.h>
#include <LibGateway/DemandSharing.h>
#include <LibGateway/DutySharing.h>
#include <LibGateway/FailureDetector.h>
#include <LibGateway/LoadAggregator.h>
#include <LibGateway/LoadSources.h>
#include <LibGateway/OutgoingDatagram.h>
#include <LibGateway/RelayElection.h>
#include <LibGateway/RoutedRequest.h>
#include <LibGateway/SignalSharing.h>
#include <LibGateway/StreamOriginSharing.h>

#include <Peers.pb.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_set.h>

namespace GraniteField::Gateway {

/// Shares the load that each gateway has on each backend server, and the prompts that it has sent there, among all
/// gateways. Without it each gateway would place requests by its own part of the load.
///
/// Each gateway reports to the relay of its failure domain. A relay sums up the reports, sends the sums to its
/// reporters and to the relays of the other failure domains, and forwards to its reporters what these relays send. A
/// gateway thus reads one stream of datagrams regardless of the number of gateways. Correctness of results does not
/// depend on this data. No I/O and no clock; on the gateway's thread.
class LoadSharing {
public:
    using Datagram = granitefield::protocol::LoadDatagram;

    /// Interval of datagrams while requests are open. A change at one gateway reaches all others within three
    /// intervals: its own, that of its relay and that of the relay in the other failure domain.
    static constexpr Core::Milliseconds s_interval {50};
    /// Maximum time between two datagrams of a gateway to its relay, and of a relay.
    static constexpr Core::Milliseconds s_heartbeat {100};
    /// Interval at which a relay repeats the sum of each server with load. It bounds the effect of a lost datagram.
    static constexpr Core::Milliseconds s_refresh {1'000};
    /// Time without a datagram of a relay after which its loads are dropped: several heartbeats.
    static constexpr Core::Milliseconds s_relay_expiry {600};
    /// Time after which a relay's load of a server that it no longer reports is dropped: two missed refreshes.
    static constexpr Core::Milliseconds s_entry_expiry {2'500};
    /// Bounds on the content of a datagram, which keep it below the 64 KB limit of UDP.
    static constexpr std::size_t s_max_servers = 1'500;
    static constexpr std::size_t s_max_placements = 200;
    static constexpr std::size_t s_max_forwarded = 32;
    /// Maximum number of servers that a report lists as dead, or as answering again.
    static constexpr std::size_t s_max_suspected = 1'000;

    enum class WatchesStore {
        No,
        Yes,
    };

    /// `self` is the incarnation of the gateway. `duties` is null where gateways have no duties, `demand` where they do
    /// not share their admission control, `streams` where they do not share the versions of streams.
    LoadSharing(std::uint64_t self, BackendFleet&, CrashSharing, DutySharing* duties, Core::MonotonicTime started,
        DemandSharing* demand = nullptr, StreamOriginSharing* streams = nullptr);

    void set_members(Entry::LoadMembers const&);

    /// Records a prompt sent to the server. `parts` may be shared with other prompts; `own_tokens` is the length of the
    /// rest.
    void note_placement(BackendView const&, std::span<PromptPart const> parts, std::uint32_t own_tokens);

    /// Record that the server refused a connection, broke off an answer, or has answered again.
    void note_unreachable(BackendView const& server) { m_unreachable.push_back(server.id()); }
    void note_broken(BackendView const& server) { m_broken.push_back(server.id()); }
    void note_answering(BackendView const& server) { m_answering.push_back(server.id()); }

    /// Applies a datagram from the address `from` that spent `waited` in the socket's buffer. Returns false, and
    /// ignores it, if its sender is no member, its protocol version differs, or its sizes exceed the bounds.
    bool receive(Datagram const&, std::string const& from, Core::MonotonicTime now,
        Core::Milliseconds waited = Core::Milliseconds(0));

    /// Sets the report about the platform's store that the next datagrams carry.
    void set_store_report(Entry::StoreReport const& report) { m_store_report = report; }
    /// Returns what other gateways have reported about the store since the last call.
    [[nodiscard]] Entry::StoreReport take_store_report() { return std::exchange(m_received_store_report, {}); }

    /// Returns the datagrams to send now. `own_clock` is the wall clock of this host.
    [[nodiscard]] std::vector<OutgoingDatagram> tick(Cluster::WallTime own_clock, Core::MonotonicTime now);

    /// Returns the messages about streams, which need not wait for tick().
    [[nodiscard]] std::vector<OutgoingDatagram> take_stream_messages();

    /// Time until the next call of tick(). A gateway that runs late ticks less often, unless other gateways depend on
    /// its datagrams: its reporters, or all gateways if it watches the platform's store.
    [[nodiscard]] Core::Milliseconds interval(WatchesStore) const;
    /// Whether this gateway has received no relay's datagram yet and is within its join delay, so that peers may not
    /// know it.
    [[nodiscard]] bool is_joining(Core::MonotonicTime now) const { return m_election.is_joining(now); }
    /// Whether this process runs late.
    [[nodiscard]] bool is_slow() const { return m_election.is_slow(); }
    /// Address of the relay that this gateway reports to, its own address if it relays; empty while there is none.
    [[nodiscard]] std::string const& relay() const { return m_relay; }
    /// Whether this gateway relays: other gateways report to it, or it is its own relay.
    [[nodiscard]] bool is_relay() const { return m_is_relay; }

private:
    using Placement = granitefield::protocol::Placement;
    using RelayedLoad = granitefield::protocol::RelayedLoad;
    using Placements = std::vector<Placement>;

    /// Loads of this gateway in its report with this sequence number.
    struct OwnReport {
        std::uint64_t sequence {0};
        LoadsByServer loads;
    };

    [[nodiscard]] static bool is_within_bounds(Datagram const&);
    void receive_report(granitefield::protocol::GatewayLoad const&, std::string const& from, Core::MonotonicTime now,
        Core::Milliseconds waited);
    void receive_relayed(RelayedLoad const&, Core::MonotonicTime now, Core::Milliseconds waited);
    void apply_placements(google::protobuf::RepeatedPtrField<Placement> const&);
    void relay_placements(google::protobuf::RepeatedPtrField<Placement> const&);
    /// Subtracts this gateway's own load from sums that include it.
    void subtract_own_load(RelayedLoad const&, LoadsByServer&) const;

    /// Collects the findings of the gateways that report to this relay.
    void collect_suspicions(std::span<std::uint64_t const> unreachable, std::span<std::uint64_t const> broken,
        std::span<std::uint64_t const> answering, Core::MonotonicTime now);
    /// Whether the datagram comes from the relay that this gateway reports to.
    [[nodiscard]] bool is_from_own_relay(RelayedLoad const&) const;
    void apply_suspicions(RelayedLoad const&, Core::MonotonicTime now);
    void mark_suspected(std::uint64_t server, Core::MonotonicTime now);
    void mark_alive(std::uint64_t server);

    [[nodiscard]] LoadsByServer own_loads() const;
    /// Stores the loads of the next report and returns its sequence number.
    std::uint64_t record_own_report(LoadsByServer);
    /// Whether shared data is due that must not wait for the next heartbeat.
    [[nodiscard]] bool has_urgent_reports(Core::MonotonicTime now) const
    {
        return has_duty_changes() || m_crash_sharing.has_due_reports(now) || m_signal_sharing.has_due_reports(now);
    }
    [[nodiscard]] bool has_duty_changes() const { return m_duty_sharing != nullptr && m_duty_sharing->has_changes(); }
    void send_report(
        std::string const& relay, std::vector<OutgoingDatagram>&, Cluster::WallTime own_clock, Core::MonotonicTime now);
    void add_own_report(Core::MonotonicTime now);
    void send_as_relay(std::vector<OutgoingDatagram>&, Core::MonotonicTime now);
    [[nodiscard]] RelayedLoad make_relayed_load(Core::MonotonicTime now);
    void add_refresh(LoadsByServer&, Core::MonotonicTime now);

    std::uint64_t m_self;
    BackendFleet& m_fleet;
    CrashSharing m_crash_sharing;
    SignalSharing m_signal_sharing;
    DutySharing* m_duty_sharing;
    DemandSharing* m_demand_sharing;
    StreamOriginSharing* m_streams;
    /// A gateway has reported for the first time and needs the full state.
    bool m_has_new_reporter {false};
    RelayElection m_election;
    LoadAggregator m_aggregator;
    LoadSources m_reporter_loads;
    LoadSources m_relay_loads;
    bool m_is_busy {false};
    bool m_is_relay {false};
    std::string m_relay;
    Entry::StoreReport m_store_report;
    Entry::StoreReport m_received_store_report;

    std::uint64_t m_report_sequence {0};
    std::deque<OwnReport> m_own_reports;
    Core::MonotonicTime m_last_report;
    Placements m_placements;
    Placements m_previous_placements;
    std::vector<std::uint64_t> m_unreachable;
    std::vector<std::uint64_t> m_broken;
    std::vector<std::uint64_t> m_answering;

    std::uint64_t m_relay_sequence {0};
    Core::MonotonicTime m_last_relay_datagram;
    Placements m_relay_placements;
    std::vector<RelayedLoad> m_forwarded;
    FailureDetector m_failure_detector;
    absl::flat_hash_set<std::uint64_t> m_suspected_to_send;
    absl::flat_hash_set<std::uint64_t> m_answering_to_send;
    /// Number of other gateways, each of which may retry a suspected server.
    std::size_t m_peer_count {0};
    /// Changed sums that did not fit into the last datagram.
    LoadsByServer m_deferred_loads;
    /// Servers whose sums this refresh has yet to send.
    std::vector<std::uint64_t> m_servers_to_refresh;
    std::size_t m_servers_per_tick {0};
    Core::MonotonicTime m_last_refresh;
};

}
