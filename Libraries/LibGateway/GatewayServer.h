#pragma once

#include <LibCore/Address.h>
#include <LibCore/ListenRetry.h>
#include <LibCore/StallDetector.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/SharedServers.h>
#include <LibEntry/SharedTable.h>
#include <LibGateway/AdmissionMonitor.h>
#include <LibGateway/DeferredRequests.h>
#include <LibGateway/MemoryGuard.h>
#include <LibGateway/RequestForwarder.h>

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

namespace GraniteField::Gateway {

/// A gateway: accepts requests from callers, chooses a backend server for each and forwards it directly. All of it runs
/// in an event loop (Boost.Asio) on one thread, since there are too many caller connections for a thread each.
class GatewayServer {
public:
    struct Settings {
        Core::Address callers;
        /// Address that receives load datagrams from other gateways; unset for none.
        std::optional<Core::Address> load_address;
        /// Address of the readiness endpoint for the platform's load balancer.
        Core::Address readiness;
        std::string readiness_path {"/readyz"};
        Core::ListenRetry listen;
        BackendFleet::Settings fleet;
        ForwardingSettings runs;
        Dialect dialect;
        /// Time for which a gateway that drains still accepts requests, until the load balancer has noticed.
        Core::Milliseconds drain_notice {2'500};
        /// Time limit of a drain, after which the process is killed.
        Core::Milliseconds drain_limit {8'000};
    };

    /// `usage` counts the requests that start; null if usage is not reported. `quarantine` is the part of the
    /// quarantine that is stored outside the gateways; null for none. `drains` lists the failure domains that receive
    /// no new requests; null if none can be drained.
    GatewayServer(Settings, Entry::SharedTable const&, Entry::SharedServers const&, Entry::SharedMembership const&,
        Entry::WatchDuty&, Observe::EventLog&, Observe::MetricRegistry&, Cluster::SharedDuty* usage = nullptr,
        Cluster::SharedQuarantine* quarantine = nullptr, Entry::SharedDrains const* drains = nullptr,
        StreamArchive* archive = nullptr, ListConfirmation* confirmation = nullptr);
    ~GatewayServer();
    GatewayServer(GatewayServer const&) = delete;
    GatewayServer& operator=(GatewayServer const&) = delete;

    /// Applies a new table, server list or list of drains. Any thread.
    void wake();
    /// Starts a drain: the readiness endpoint reports 503 at once, and requests in flight are finished. Any thread.
    void drain();
    /// Applies the limits, costs and times of new settings. Addresses cannot change while the process runs. Any thread.
    void reload(Settings const&);
    /// Blocks until a drain has ended.
    void wait_until_drained();
    /// Releases a request from quarantine, here and at all gateways that receive the update. Returns whether any crash
    /// was recorded against it. Any thread but the gateway's.
    [[nodiscard]] bool release(Core::RequestDigest const&);
    /// Returns the status for operators, as JSON. Any thread but the gateway's.
    [[nodiscard]] std::string status();
    [[nodiscard]] bool is_ready() const { return m_is_ready; }
    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t readiness_port() const;
    /// Address that receives load datagrams; empty for none.
    [[nodiscard]] std::string load_address() const { return m_load.address(); }

private:
    /// Starts a run for each request of a caller.
    class CallerHandler;
    /// Answers the load balancer's readiness probes.
    class ReadinessHandler;
    using Acceptor = boost::asio::ip::tcp::acceptor;

    void accept(Acceptor&, CallerConnection::Handler&);
    /// Accepts again after a pause.
    void accept_later(Acceptor&, CallerConnection::Handler&, std::string const& reason);
    void start_run(std::shared_ptr<CallerConnection>, HTTP::RequestHead, RequestBody, Core::MonotonicTime received);
    /// Whether there is memory for this many more bytes of a request's body. If not, the request is refused.
    [[nodiscard]] bool admit_body(CallerConnection&, HTTP::RequestHead const&, std::size_t bytes);
    [[nodiscard]] MemoryGuard::Rank rank_of(HTTP::RequestHead const&) const;
    /// Defers a request if there is no table to interpret it. Returns whether it was deferred.
    [[nodiscard]] bool defer_until_table(
        std::shared_ptr<CallerConnection> const&, HTTP::RequestHead&, RequestBody&, Core::MonotonicTime received);
    /// Time until which a request may be deferred.
    [[nodiscard]] Core::MonotonicTime deferral_deadline(HTTP::RequestHead const&, Core::MonotonicTime received) const;
    /// Defers a request that the current table does not allow. Returns whether it was deferred.
    [[nodiscard]] bool defer_until_newer_table(DeferredRequest);
    /// Whether a newer table is known to exist.
    [[nodiscard]] bool is_table_outdated() const;
    void start_deferred_requests();
    void finish_expired_requests(Core::MonotonicTime now);
    void apply_updates();
    void apply_server_list();
    void apply_members();
    void schedule_tick();
    void tick();
    void tick_runs(Core::MonotonicTime now);
    void tick_drain(Core::MonotonicTime now);
    /// Returns the refusal for a request that the drain limit would cut off; nothing if enough time is left.
    [[nodiscard]] std::optional<Entry::ErrorAnswer> refuse_for_drain(
        RoutedRequest const&, Core::MonotonicTime now) const;
    void refuse(CallerConnection&, std::string const& id, Entry::ErrorAnswer const&);
    /// Time between when this version was first known to exist and when it took effect here.
    [[nodiscard]] Core::Milliseconds table_delay(Core::TableVersion) const;
    /// Returns whether it changed.
    bool update_readiness();
    [[nodiscard]] std::string make_status() const;
    /// Returns the requests in quarantine.
    [[nodiscard]] static nlohmann::json quarantine_status(Policy::CrashLedger const&, Core::MonotonicTime now);
    /// Returns the state of the usage reporting lease, and the count of each usage window.
    [[nodiscard]] static nlohmann::json usage_status(Cluster::SharedDuty const&, Core::MonotonicTime now);

    Settings m_settings;
    Entry::SharedTable const& m_shared_table;
    Entry::SharedServers const& m_shared_servers;
    Entry::SharedDrains const* m_shared_drains;
    Entry::SharedMembership const& m_membership;
    Entry::WatchDuty& m_duty;
    Observe::EventLog& m_log;
    Observe::MetricRegistry& m_registry;
    /// Outlives the connections that the loop's handlers keep alive.
    MemoryGuard m_memory;
    boost::asio::io_context m_loop {1};
    GatewayMetrics m_metrics;
    BackendFleet m_fleet;
    CrashDetector m_crashes;
    std::optional<DutySharing> m_duty_sharing;
    Policy::Admission m_admission;
    AdmissionMonitor m_admission_monitor {m_admission, m_log};
    DemandSharing m_demand_sharing {m_admission};
    StreamOriginSharing m_streams;
    LoadExchange m_load;
    ForwardingContext m_context;
    std::unique_ptr<CallerHandler> m_caller_handler;
    std::unique_ptr<ReadinessHandler> m_readiness_handler;
    Acceptor m_caller_acceptor;
    Acceptor m_readiness_acceptor;
    std::size_t m_max_connections;
    bool m_is_accept_failure_logged {false};
    boost::asio::steady_timer m_timer;
    std::list<std::shared_ptr<CallerConnection>> m_connections;
    std::list<std::unique_ptr<RequestForwarder>> m_runs;
    DeferredRequests m_deferred_requests;
    std::shared_ptr<Table::Table const> m_table;
    /// Time at which the table took effect; before the first one, the start of the process.
    Core::MonotonicTime m_table_since {Core::monotonic_now()};
    std::shared_ptr<Entry::ServerList const> m_servers;
    /// The members that were passed to the fleet; null for none.
    std::shared_ptr<Entry::LoadMembers const> m_members;
    CallerConnection::Limits m_limits;
    std::atomic<bool> m_is_ready {false};
    Core::StallDetector m_stalls;
    std::optional<Core::MonotonicTime> m_drain_started;
    std::thread m_thread;
};

}
