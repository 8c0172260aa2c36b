#pragma once

#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedMembership.h>
#include <LibGateway/BackendView.h>
#include <LibGateway/PlacementPolicy.h>
#include <LibGateway/RegionRules.h>
#include <LibGateway/RoutedRequest.h>
#include <LibGateway/ServerSignals.h>
#include <LibObserve/EventLog.h>
#include <LibPolicy/ColdShares.h>
#include <LibPolicy/LeavingFact.h>
#include <LibPolicy/LimitShares.h>
#include <LibPolicy/RateLimitFact.h>

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Reason why no server of a service can be chosen for a request.
enum class Unavailability {
    /// There is none, or all were tried or fail.
    Servers,
    /// All are in regions that the request must not use.
    Regions,
    /// All that the request may use are in drained failure domains.
    Drains,
};

/// The next time at which a request may be sent to a server.
struct EarliestSend {
    /// By this gateway.
    Core::MonotonicTime here;
    /// By any gateway, for a caller that retries elsewhere.
    Core::MonotonicTime anywhere;
};

/// Views of the backend servers of all services, and the choice among them. On the gateway's thread only.
class BackendFleet {
public:
    using Settings = PlacementPolicy::Settings;

    /// Time without an answer of a rate-limited server after which a request is sent there to find out whether the
    /// limit still holds.
    static constexpr Core::Milliseconds s_recheck_interval {1'000};

    /// Time after the last statement of a limit during which its end is reported repeatedly: a gateway that received a
    /// delayed report considers the limit newer than its end.
    static constexpr Core::Milliseconds s_confirmation_time {60'000};

    /// Interval at which the prefill load of the engines is sampled.
    static constexpr Core::Milliseconds s_sampling_interval {100};

    BackendFleet(Settings, Observe::EventLog&);

    void set_settings(Settings settings) { m_policy.set_settings(std::move(settings)); }

    /// Applies the server list; servers that are not listed receive no new requests.
    void apply(Entry::ServerList const&, Core::MonotonicTime now);
    /// Applies the drains; servers in drained failure domains receive no new requests.
    void apply(Entry::DrainList const&, Core::MonotonicTime now);
    /// Applies the services and region restrictions of the table.
    void apply(Table::Table const&);
    /// Sets the gateways that share the rates of cold and rate-limited servers; null while they are unknown.
    void apply(Entry::LoadMembers const*);

    /// Chooses the best backend server that is not in `excluded`; no server if there is none.
    [[nodiscard]] Choice choose(
        RoutedRequest const&, std::set<std::string> const& excluded, Core::MonotonicTime now) const;

    /// Reason why choose() has no server for the request.
    [[nodiscard]] Unavailability unavailability(RoutedRequest const&) const;
    /// The earliest time at which the request may be sent to any server; nullopt if it is not known.
    [[nodiscard]] std::optional<EarliestSend> earliest_send(RoutedRequest const&, Core::MonotonicTime now) const;
    /// Applies the signals of an answer to a request that was sent at that time.
    void note_signals(BackendView&, ServerSignals const&, Core::MonotonicTime sent, Core::MonotonicTime received);
    /// Applies a report of another gateway.
    void receive_report(Policy::RateLimitFacts::Report const&, Policy::Relaying, Core::MonotonicTime now);
    void receive_report(Policy::LeavingFacts::Report const&, Policy::Relaying, Core::MonotonicTime now);
    [[nodiscard]] Policy::RateLimitFacts& rate_limits() { return m_rate_limits; }
    [[nodiscard]] Policy::LeavingFacts& leaving_facts() { return m_leaving_facts; }
    /// Requests per second that the server accepts from all gateways; nullopt for no limit.
    [[nodiscard]] std::optional<double> rate_limit_of(std::uint64_t server) const;
    /// Records a request sent to the server.
    void note_sent(BackendView&, Core::MonotonicTime now);
    [[nodiscard]] Entry::DrainList const& drains() const { return m_drains; }

    /// Adds the instances at the given places (hashes of addresses).
    void add_servers_at(std::span<std::uint64_t const> places, std::set<std::string>& instances) const;
    /// Whether a server at that place (hash of its address) was first listed after that time.
    [[nodiscard]] bool has_newer_server_at(std::uint64_t place, Core::MonotonicTime listed_since) const;
    /// Adds the instances of servers that are silent.
    void add_silent_servers(std::set<std::string>& instances) const;

    /// Whether any server of the service has stated a software version.
    [[nodiscard]] bool has_versions(std::string const& service) const { return m_versioned_services.contains(service); }

    /// Records the time to the first event of a prompt of which the engine had to prefill `unread_tokens`.
    void note_first_event(std::string const& service, std::uint32_t unread_tokens, Core::Milliseconds wait);

    /// Records the pause before an event of a stream.
    void note_pause(std::string const& service, BackendView const&, EngineModel::Time pause);

    /// Samples the prefill load of the engines. To be called often.
    void sample_prefill_load(Core::MonotonicTime now);

    /// Number of servers in the newest list.
    [[nodiscard]] std::size_t listed_count() const { return m_listed_count; }
    /// Revision of the newest list.
    [[nodiscard]] Entry::ListRevision list_revision() const { return m_list_revision; }
    /// The server with that id, or null.
    [[nodiscard]] std::shared_ptr<BackendView> find(std::uint64_t id) const;
    [[nodiscard]] std::map<std::string, std::shared_ptr<BackendView>> const& all() const { return m_servers; }

private:
    [[nodiscard]] std::vector<Candidate> candidates_for(
        RoutedRequest const&, std::set<std::string> const& excluded, Core::MonotonicTime now) const;
    void rank_by_prompt(std::vector<Candidate>&, RoutedRequest const&) const;
    void log_change(Entry::ServerEntry const&, std::string_view change, Entry::ListRevision) const;

    /// Whether a cold server may receive another request from this gateway now.
    [[nodiscard]] bool has_cold_share(BackendView const&, Core::MonotonicTime now) const;
    [[nodiscard]] std::optional<Policy::SharedRateLimit> limit_of(std::uint64_t server) const;
    /// The earliest time from `now` on at which this gateway may send a request, by the server's statements.
    [[nodiscard]] Core::MonotonicTime next_send(BackendView const&, Core::MonotonicTime now) const;
    /// Whether an answer without a limit is evidence that other gateways may lack.
    [[nodiscard]] bool disproves_limit(BackendView const&, ServerSignals const&, Core::MonotonicTime received) const;
    [[nodiscard]] EarliestSend earliest_send_to(BackendView const&, Core::MonotonicTime now) const;
    [[nodiscard]] bool is_recheck_due(BackendView const&, Core::MonotonicTime now) const;
    /// Chooses a server whose rate limit is due for a recheck, if the request would still meet its target there.
    [[nodiscard]] std::optional<Choice> choose_for_recheck(
        std::vector<Candidate> const&, RoutedRequest const&, Core::MonotonicTime now) const;
    /// Whether the server has the software version that the request needs.
    [[nodiscard]] bool has_version_for(BackendView const&, RoutedRequest const&) const;
    /// The serving servers that the request is allowed to use.
    [[nodiscard]] std::vector<std::shared_ptr<BackendView>> servers_for(RoutedRequest const&) const;
    void mark_leaving(std::uint64_t server, std::string_view source) const;
    void log_limit(std::uint64_t server, std::optional<double> before, std::string_view source) const;

    /// Marks the server as possibly cold before its entry says so.
    void expect_cold(BackendView&, Core::MonotonicTime now) const;
    /// Whether the view can be dropped: its server is not listed, and has neither attempts nor a backoff.
    [[nodiscard]] static bool is_removable(std::shared_ptr<BackendView> const&, Core::MonotonicTime now);
    [[nodiscard]] double spread_of(std::string const& instance) const;

    PlacementPolicy m_policy;
    std::uint64_t m_seed;
    Observe::EventLog& m_log;
    std::map<std::string, std::shared_ptr<BackendView>> m_servers;
    absl::flat_hash_map<std::uint64_t, std::weak_ptr<BackendView>> m_servers_by_id;
    std::map<std::string, Table::Service> m_services;
    std::set<std::string> m_versioned_services;
    Entry::DrainList m_drains;
    RegionRules m_regions;
    Policy::ColdShares m_cold_shares;
    Policy::RateLimitFacts m_rate_limits;
    Policy::LeavingFacts m_leaving_facts;
    Policy::LimitShares m_limit_shares;
    bool m_has_list {false};
    std::size_t m_listed_count {0};
    Entry::ListRevision m_list_revision;
    Core::MonotonicTime m_last_sample;
};

}
