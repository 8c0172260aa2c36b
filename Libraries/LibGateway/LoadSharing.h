#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/WatchElection.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/CrashSharing.h>
#include <LibGateway/DutySharing.h>
#include <LibGateway/FailureDetector.h>
#include <LibGateway/LoadAggregator.h>
#include <LibGateway/LoadSources.h>
#include <LibGateway/RelayElection.h>
#include <LibGateway/RoutedRequest.h>
#include <LibGateway/SignalSharing.h>

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

/// A datagram that is to be sent.
struct OutgoingDatagram {
    std::string address;
    std::shared_ptr<std::string const> bytes;
};

/// Decides what this gateway tells whom of what it has open at each backend server and of the prompts that it has sent
/// there, and what it believes of others. Without others' word each gateway would choose by its own part of the load.
///
/// Each gateway reports to the relay of its failure domain. A relay adds the reports up, tells the sums to those who
/// report to it and to the relays of the other failure domains, and hands on what it hears from these. A gateway so
/// reads one stream of datagrams, however many gateways there are, and nothing that must be right rests on it.
/// No I/O and no clock; on the gateway's thread.
class LoadSharing {
public:
    using Datagram = granitefield::protocol::LoadDatagram;

    /// How often there is something to say while requests are open. What one gateway does is known at all others after
    /// three such times at most: its own, its relay's and the relay's of the other failure domain.
    static constexpr Core::Milliseconds s_interval {50};
    /// The longest silence of a gateway towards its relay, and of a relay.
    static constexpr Core::Milliseconds s_heartbeat {100};
    /// How often a relay names each server of which it knows anything. A lost datagram is made good by then.
    static constexpr Core::Milliseconds s_refresh {1'000};
    /// What a relay said is forgotten when it has been silent for this long: several heartbeats.
    static constexpr Core::Milliseconds s_relay_expiry {600};
    /// What it said of a server is forgotten when it was not named for this long: it misses two refreshes.
    static constexpr Core::Milliseconds s_entry_expiry {2'500};
    /// Bounds on what one datagram holds; its size stays below the 64 KB that one can have.
    static constexpr std::size_t s_max_servers = 1'500;
    static constexpr std::size_t s_max_placements = 200;
    static constexpr std::size_t s_max_forwarded = 32;
    /// Most servers that one report lists as dead, or as answering again.
    static constexpr std::size_t s_max_suspected = 1'000;

    enum class WatchesStore {
        No,
        Yes,
    };

    /// `self` is the gateway's incarnation. What is shared for duties is null where gateways have none.
    LoadSharing(std::uint64_t self, BackendFleet&, CrashSharing, DutySharing* duties, Core::MonotonicTime started);

    void set_members(Entry::LoadMembers const&);

    /// A prompt was sent to the server; `parts` are those that other prompts may share, `own_tokens` the rest of it.
    void note_placement(BackendView const&, std::span<PromptPart const> parts, std::uint32_t own_tokens);

    /// The server took no connection, broke off an answer, or has answered again.
    void note_unreachable(BackendView const& server) { m_unreachable.push_back(server.id()); }
    void note_broken(BackendView const& server) { m_broken.push_back(server.id()); }
    void note_answering(BackendView const& server) { m_answering.push_back(server.id()); }

    /// Takes a datagram from that address, which arrived `waited` before it was read. Returns whether it was accepted:
    /// its sender must be a member, and its sizes must be within the bounds.
    bool receive(Datagram const&, std::string const& from, Core::MonotonicTime now,
        Core::Milliseconds waited = Core::Milliseconds(0));

    /// Sets the report about the platform's store that the next datagrams carry.
    void set_store_report(Entry::StoreReport const& report) { m_store_report = report; }
    /// Returns what other gateways have reported about the store since the last call.
    [[nodiscard]] Entry::StoreReport take_store_report() { return std::exchange(m_received_store_report, {}); }

    /// What there is to send now; `own_clock` is this host's time of day.
    [[nodiscard]] std::vector<OutgoingDatagram> tick(Cluster::WallTime own_clock, Core::MonotonicTime now);

    /// Time until the next call of turn(). A gateway that runs late calls it less often, unless others depend on its
    /// datagrams: those that report to it, or all if it watches the platform's store.
    [[nodiscard]] Core::Milliseconds interval(WatchesStore) const;
    /// Whether this gateway has heard no other yet, and the others may not know it.
    [[nodiscard]] bool is_joining(Core::MonotonicTime now) const { return m_election.is_joining(now); }
    /// Whether this process runs late.
    [[nodiscard]] bool is_slow() const { return m_election.is_slow(); }
    /// The relay that this gateway reports to, its own address if it relays; empty while there is none.
    [[nodiscard]] std::string const& relay() const { return m_relay; }
    /// Whether other gateways report here, or this one reports to nobody else.
    [[nodiscard]] bool is_relay() const { return m_is_relay; }

private:
    using Placement = granitefield::protocol::Placement;
    using RelayedLoad = granitefield::protocol::RelayedLoad;
    using Placements = std::vector<Placement>;

    /// What this gateway had open at its report of that sequence.
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
    /// Takes this gateway's own part out of a sum that holds it.
    void subtract_own_load(RelayedLoad const&, LoadsByServer&) const;

    /// What the gateways of this relay's failure domain have met.
    void collect_suspicions(std::span<std::uint64_t const> unreachable, std::span<std::uint64_t const> broken,
        std::span<std::uint64_t const> answering, Core::MonotonicTime now);
    /// Whether the part comes from the relay that this gateway reports to.
    [[nodiscard]] bool is_from_own_relay(RelayedLoad const&) const;
    void apply_suspicions(RelayedLoad const&, Core::MonotonicTime now);
    void mark_suspected(std::uint64_t server, Core::MonotonicTime now);
    void mark_alive(std::uint64_t server);

    [[nodiscard]] LoadsByServer own_loads() const;
    /// Begins the next report of what is open here.
    std::uint64_t record_own_report(LoadsByServer);
    /// What goes with the next datagram and can't wait.
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
    /// A gateway that was not known reports here.
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
    /// Other gateways; they may all try a suspected server again.
    std::size_t m_peer_count {0};
    /// Changed servers that did not fit in.
    LoadsByServer m_deferred_loads;
    /// Servers that are still to be named in this refresh.
    std::vector<std::uint64_t> m_servers_to_refresh;
    std::size_t m_servers_per_tick {0};
    Core::MonotonicTime m_last_refresh;
};

}
