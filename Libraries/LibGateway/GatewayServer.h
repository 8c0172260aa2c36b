#pragma once

#include <LibCore/Address.h>
#include <LibCore/StallDetector.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedMembership.h>
#include <LibEntry/SharedServers.h>
#include <LibEntry/SharedTable.h>
#include <LibGateway/EarlyRequests.h>
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

/// A gateway: takes callers' requests, chooses a backend server for each, and calls it directly. One thread with an
/// event loop (Boost.Asio) does all of it; callers' connections are too many for a thread each.
class GatewayServer {
public:
    struct Settings {
        Core::Address callers;
        /// Where datagrams about load from other gateways arrive; none by default.
        std::optional<Core::Address> load_address;
        /// Where the platform's balancer asks whether this gateway takes requests.
        Core::Address readiness;
        std::string readiness_path {"/readyz"};
        BackendFleet::Settings fleet;
        ForwardingSettings runs;
        Dialect dialect;
        /// How long a planned stop goes on taking requests: the balancer needs it to notice.
        Core::Milliseconds drain_notice {2'500};
        /// How long a planned stop waits for what is in flight, all in all; the process is killed after it.
        Core::Milliseconds drain_limit {8'000};
    };

    /// `usage` counts the requests that begin to run; null where nobody reports them. `quarantine` is what is kept
    /// beyond the gateways; null for nothing. `drains` are the failure domains that get nothing new; null where none
    /// can be drained.
    GatewayServer(Settings, Entry::SharedTable const&, Entry::SharedServers const&, Entry::SharedMembership const&,
        Entry::WatchDuty&, Observe::EventLog&, Observe::MetricRegistry&, Cluster::SharedDuty* usage = nullptr,
        Cluster::SharedQuarantine* quarantine = nullptr, Entry::SharedDrains const* drains = nullptr);
    ~GatewayServer();
    GatewayServer(GatewayServer const&) = delete;
    GatewayServer& operator=(GatewayServer const&) = delete;

    /// Looks at the table and the servers again. Any thread.
    void wake();
    /// Begins a planned stop: readiness falls at once, what is in flight is finished. Any thread.
    void drain();
    /// Takes over the limits, costs and times of new settings. Addresses hold until the process ends. Any thread.
    void reload(Settings const&);
    /// Waits until a planned stop is over.
    void wait_until_drained();
    /// Lets a request reach backend servers again that was held back for crashing them, here and at all gateways that
    /// hear of it; says whether anything had been held against it. Any thread but the gateway's.
    [[nodiscard]] bool release(Core::RequestDigest const&);
    /// What an operator sees, as JSON. Any thread but the gateway's.
    [[nodiscard]] std::string status();
    [[nodiscard]] bool is_ready() const { return m_is_ready; }
    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t readiness_port() const;
    /// Where datagrams about load arrive; empty for nowhere.
    [[nodiscard]] std::string load_address() const { return m_load.address(); }

private:
    /// Gives callers' requests to runs.
    class CallerHandler;
    /// Answers the balancer.
    class ReadinessHandler;
    using Acceptor = boost::asio::ip::tcp::acceptor;

    void accept(Acceptor&, CallerConnection::Handler&);
    void begin_run(
        std::shared_ptr<CallerConnection>, HTTP::RequestHead, std::string body, Core::MonotonicTime received);
    /// Keeps a request that can't be read without a table; says whether it does.
    [[nodiscard]] bool keep_for_table(
        std::shared_ptr<CallerConnection> const&, HTTP::RequestHead&, std::string& body, Core::MonotonicTime received);
    /// Until when a request waits for a table.
    [[nodiscard]] Core::MonotonicTime waits_until(HTTP::RequestHead const&, Core::MonotonicTime received) const;
    /// Keeps a request that the table in force does not allow, if a newer one is known to be somewhere; says whether it
    /// does.
    [[nodiscard]] bool keep_for_newer_table(EarlyRequest);
    /// Whether a newer table is known to be somewhere.
    [[nodiscard]] bool is_behind() const;
    void begin_early_requests();
    void refuse_early_requests(Core::MonotonicTime now);
    void follow();
    void follow_members();
    void schedule_tick();
    void tick();
    void tick_runs(Core::MonotonicTime now);
    void tick_drain(Core::MonotonicTime now);
    /// The refusal for a request that a planned stop would cut; nothing when there is time for it.
    [[nodiscard]] std::optional<Entry::ErrorAnswer> refuse_for_stop(
        RoutedRequest const&, Core::MonotonicTime now) const;
    void refuse(CallerConnection&, std::string const& id, Entry::ErrorAnswer const&);
    /// How long a table that is in force since just now was known to be somewhere before.
    [[nodiscard]] Core::Milliseconds table_delay(Core::TableVersion) const;
    /// Says whether it has changed.
    bool update_readiness();
    [[nodiscard]] std::string make_status() const;
    /// Requests that are held back for crashing servers.
    [[nodiscard]] static nlohmann::json quarantine_status(Policy::CrashLedger const&, Core::MonotonicTime now);
    /// Who is known to report usage, and what was counted in each window.
    [[nodiscard]] static nlohmann::json usage_status(Cluster::SharedDuty const&, Core::MonotonicTime now);

    Settings m_settings;
    Entry::SharedTable const& m_shared_table;
    Entry::SharedServers const& m_shared_servers;
    Entry::SharedDrains const* m_shared_drains;
    Entry::SharedMembership const& m_membership;
    Entry::WatchDuty& m_duty;
    Observe::EventLog& m_log;
    Observe::MetricRegistry& m_registry;
    boost::asio::io_context m_loop {1};
    GatewayMetrics m_metrics;
    BackendFleet m_fleet;
    CrashDetector m_crashes;
    std::optional<DutySharing> m_duty_sharing;
    LoadExchange m_load;
    ForwardingContext m_context;
    std::unique_ptr<CallerHandler> m_caller_handler;
    std::unique_ptr<ReadinessHandler> m_readiness_handler;
    Acceptor m_caller_acceptor;
    Acceptor m_readiness_acceptor;
    boost::asio::steady_timer m_timer;
    std::list<std::shared_ptr<CallerConnection>> m_connections;
    std::list<std::unique_ptr<RequestForwarder>> m_runs;
    EarlyRequests m_early_requests;
    std::shared_ptr<Table::Table const> m_table;
    /// Since when the table is in force here; the process's start before the first one.
    Core::MonotonicTime m_table_since {Core::monotonic_now()};
    std::shared_ptr<Entry::ServerList const> m_servers;
    /// The members that the fleet was told of; null for none.
    std::shared_ptr<Entry::LoadMembers const> m_members;
    CallerConnection::Limits m_limits;
    std::atomic<bool> m_is_ready {false};
    Core::StallDetector m_stalls;
    std::optional<Core::MonotonicTime> m_drain_begun;
    std::thread m_thread;
};

}
