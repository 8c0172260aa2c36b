#include <LibGateway/GatewayServer.h>

#include <LibCore/Hashing.h>
#include <LibCore/Thread.h>
#include <LibGateway/ErrorResponse.h>

#include <algorithm>
#include <future>
#include <limits>
#include <utility>

#include <sys/resource.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace GraniteField::Gateway {

namespace {

/// Interval at which timeouts are checked, and thereby how late one may take effect.
constexpr Core::Milliseconds s_tick_interval {25};
/// Interval while no request is in flight.
constexpr Core::Milliseconds s_idle_tick_interval {250};
constexpr Core::Milliseconds s_status_timeout {1'000};
constexpr int s_backlog = 512;
/// Readiness probes have no use for a body.
constexpr std::size_t s_max_probe_body = 1U << 10U;
/// Time until a request that found no memory may find some: bodies are released as servers take or answer requests.
constexpr Core::Milliseconds s_memory_retry_after {500};
constexpr Core::Milliseconds s_memory_retry_spread {1'000};
/// Descriptors that callers can't take, for servers, the store, peers, probes and operators; half of them all at most.
constexpr std::size_t s_reserved_descriptors = 256;
/// Time reserved at the end of a drain, so that the last answers are sent before the process is killed.
constexpr Core::Milliseconds s_drain_reserve {400};
/// Multiple of its class's first-token target within which an answer that is not a stream is expected.
constexpr int s_targets_per_answer = 4;

/// Whether the answer depends on the content of the table. Callers treat such an answer as final and do not retry, so
/// that it is not given by a table that is known to be outdated. The request waits for the newer table instead, like
/// one that arrives before the first table, and is told when to retry if that does not arrive in time.
bool depends_on_table(Entry::ErrorAnswer const& error)
{
    constexpr int unknown_key = 401;
    constexpr int not_allowed = 403;
    constexpr int unknown_route = 404;
    return error.status == unknown_key || error.status == not_allowed || error.status == unknown_route;
}

/// Returns the weights of the workspaces, without those of weight 1.
Policy::WorkspaceShares::Weights workspace_weights(Table::Table const& table)
{
    Policy::WorkspaceShares::Weights weights;
    for (auto const& [name, workspace] : table.workspaces()) {
        if (workspace.weight != 1)
            weights[Policy::hash_name(name)] = workspace.weight;
    }
    return weights;
}

/// Number of callers' connections that leave the reserve of descriptors.
std::size_t max_connections()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    std::size_t const descriptors = limit.rlim_cur;
    return descriptors - std::min(s_reserved_descriptors, descriptors / 2);
}

boost::asio::ip::tcp::endpoint endpoint_of(Core::Address const& address)
{
    return {boost::asio::ip::make_address(address.host()), address.port()};
}

boost::asio::ip::tcp::acceptor make_acceptor(
    boost::asio::io_context& loop, Core::Address const& address, Core::ListenRetry const& retry)
{
    auto const endpoint = endpoint_of(address);
    return retry.listen(address, [&] {
        boost::asio::ip::tcp::acceptor acceptor(loop);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(s_backlog);
        return acceptor;
    });
}

}

class GatewayServer::CallerHandler final : public CallerConnection::Handler {
public:
    explicit CallerHandler(GatewayServer& server)
        : m_server(server)
    {
    }

    void handle_request(std::shared_ptr<CallerConnection> caller, HTTP::RequestHead head, RequestBody body,
        Core::MonotonicTime received) override
    {
        m_server.start_run(std::move(caller), std::move(head), std::move(body), received);
    }
    [[nodiscard]] bool admit_body(CallerConnection& caller, HTTP::RequestHead const& head, std::size_t bytes) override
    {
        return m_server.admit_body(caller, head, bytes);
    }
    [[nodiscard]] MemoryAccount& memory() override { return m_server.m_memory.account(); }
    [[nodiscard]] CallerConnection::Limits const& limits() const override { return m_server.m_limits; }
    [[nodiscard]] bool is_draining() const override { return m_server.m_drain_started.has_value(); }
    void note_bad_request(HTTP::RequestProblem problem) override
    {
        auto const status = HTTP::status_of(problem);
        m_server.m_metrics.note_bad_request(status);
        m_server.m_log.write(Observe::LogEvent("bad-request").add("status", status));
    }

private:
    GatewayServer& m_server;
};

class GatewayServer::ReadinessHandler final : public CallerConnection::Handler {
public:
    explicit ReadinessHandler(GatewayServer& server)
        : m_server(server)
    {
    }

    void handle_request(
        std::shared_ptr<CallerConnection> caller, HTTP::RequestHead head, RequestBody, Core::MonotonicTime) override
    {
        if (head.target != m_server.m_settings.readiness_path)
            return caller->send_response(404, {}, "");
        caller->send_response(m_server.m_is_ready ? 200 : 503, {}, "");
    }
    [[nodiscard]] bool admit_body(CallerConnection&, HTTP::RequestHead const&, std::size_t) override { return true; }
    [[nodiscard]] MemoryAccount& memory() override { return m_server.m_memory.account(); }
    [[nodiscard]] CallerConnection::Limits const& limits() const override { return m_limits; }
    [[nodiscard]] bool is_draining() const override { return false; }
    void note_bad_request(HTTP::RequestProblem) override { }

private:
    GatewayServer& m_server;
    CallerConnection::Limits m_limits {.request = {.body_bytes = s_max_probe_body}};
};

GatewayServer::GatewayServer(Settings settings, Entry::SharedTable const& table, Entry::SharedServers const& servers,
    Entry::SharedMembership const& membership, Entry::WatchDuty& duty, Observe::EventLog& log,
    Observe::MetricRegistry& registry, Cluster::SharedDuty* usage, Cluster::SharedQuarantine* quarantine,
    Entry::SharedDrains const* drains, StreamArchive* archive, ListConfirmation* confirmation)
    : m_settings(std::move(settings))
    , m_shared_table(table)
    , m_shared_servers(servers)
    , m_shared_drains(drains)
    , m_membership(membership)
    , m_duty(duty)
    , m_log(log)
    , m_registry(registry)
    , m_memory(log, registry)
    , m_metrics(registry)
    , m_fleet(m_settings.fleet, log)
    , m_crashes(m_loop, m_fleet, log, m_metrics, quarantine)
    , m_duty_sharing(usage == nullptr ? std::nullopt : std::optional<DutySharing>(*usage))
    , m_streams(archive, confirmation)
    , m_load(m_loop, m_settings.load_address, m_fleet, CrashSharing(m_crashes.ledger()),
          m_duty_sharing ? &*m_duty_sharing : nullptr, membership, duty, log, registry, &m_demand_sharing, &m_streams,
          m_settings.listen)
    , m_context {m_loop, m_settings.runs, m_settings.dialect, m_fleet, m_load, m_streams, m_crashes, usage, {},
          m_admission, {}, {}, 1, m_memory.account(), log, m_metrics}
    , m_caller_handler(std::make_unique<CallerHandler>(*this))
    , m_readiness_handler(std::make_unique<ReadinessHandler>(*this))
    , m_caller_acceptor(make_acceptor(m_loop, m_settings.callers, m_settings.listen))
    , m_readiness_acceptor(make_acceptor(m_loop, m_settings.readiness, m_settings.listen))
    , m_max_connections(max_connections())
    , m_timer(m_loop)
{
    m_context.apply_server_list = [this] { apply_server_list(); };
    m_admission.set_settings(m_settings.runs.admission);
    m_memory.set_limit(m_settings.runs.memory_limit);
    accept(m_caller_acceptor, *m_caller_handler);
    accept(m_readiness_acceptor, *m_readiness_handler);
    schedule_tick();
    m_thread = Core::start_thread("gateway", [this] { m_loop.run(); });
}

GatewayServer::~GatewayServer()
{
    m_loop.stop();
    m_thread.join();
    m_runs.clear();
}

void GatewayServer::accept(Acceptor& acceptor, CallerConnection::Handler& handler)
{
    bool const is_for_callers = &acceptor == &m_caller_acceptor;
    if (is_for_callers && m_connections.size() >= m_max_connections)
        return accept_later(acceptor, handler, "the descriptors for callers are used up");
    acceptor.async_accept([this, &acceptor, &handler](auto const& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        // Most likely out of file descriptors.
        if (error)
            return accept_later(acceptor, handler, error.message());
        m_is_accept_failure_logged = false;
        auto connection = std::make_shared<CallerConnection>(std::move(socket), handler);
        m_connections.push_back(connection);
        connection->start();
        accept(acceptor, handler);
    });
}

void GatewayServer::accept_later(Acceptor& acceptor, CallerConnection::Handler& handler, std::string const& reason)
{
    if (!std::exchange(m_is_accept_failure_logged, true))
        m_log.write(Observe::LogEvent("accept-failed").add("reason", reason));
    // The pause avoids a busy loop.
    auto pause = std::make_shared<boost::asio::steady_timer>(m_loop, s_tick_interval);
    pause->async_wait([this, &acceptor, &handler, pause](auto const&) { accept(acceptor, handler); });
}

MemoryGuard::Rank GatewayServer::rank_of(HTTP::RequestHead const& head) const
{
    auto const read = route_request(head, {}, m_table, m_settings.dialect, Core::monotonic_now());
    auto const lowest = m_table ? m_table->lowest_tier_in_use() : Table::s_lowest_tier;
    auto const* request = std::get_if<RoutedRequest>(&read);
    return {request == nullptr ? lowest : request->tier, lowest};
}

bool GatewayServer::admit_body(CallerConnection& caller, HTTP::RequestHead const& head, std::size_t bytes)
{
    if (m_memory.admits(bytes, [&] { return rank_of(head); }))
        return true;
    std::string const id(head.fields.value_or(m_settings.dialect.request_id, ""));
    m_memory.note_refused(id, bytes);
    auto const spread = s_memory_retry_spread * (Core::hash_bytes(id) % 1'000) / 1'000;
    caller.close_after_response();
    refuse(caller, id,
        {503, "memory", "this gateway has no memory for the request", Entry::Outcome::NotRun,
            s_memory_retry_after + spread});
    return false;
}

void GatewayServer::start_run(
    std::shared_ptr<CallerConnection> caller, HTTP::RequestHead head, RequestBody body, Core::MonotonicTime received)
{
    apply_updates();
    if (defer_until_table(caller, head, body, received))
        return;
    std::string const id(head.fields.value_or(m_settings.dialect.request_id, ""));
    // Reading consumes the request, so that one that may have to be read again is copied.
    std::optional<DeferredRequest> deferrable;
    if (is_table_outdated())
        deferrable.emplace(DeferredRequest {caller, head, body, received, deferral_deadline(head, received)});
    auto read = route_request(std::move(head), std::move(body), m_table, m_settings.dialect, received);
    if (auto const* error = std::get_if<Entry::ErrorAnswer>(&read)) {
        if (!deferrable || !depends_on_table(*error))
            return refuse(*caller, id, *error);
        if (defer_until_newer_table(*std::move(deferrable)))
            return;
        return refuse(*caller, id,
            {503, "table_outdated", "this gateway does not have the newest table", Entry::Outcome::NotRun,
                m_settings.runs.retry_after});
    }
    auto& call = std::get<RoutedRequest>(read);
    auto const now = Core::monotonic_now();
    if (auto const error = refuse_for_drain(call, now))
        return refuse(*caller, id, *error);
    auto& run = *m_runs.emplace_back(std::make_unique<RequestForwarder>(m_context, std::move(call), std::move(caller)));
    run.start(now);
}

bool GatewayServer::defer_until_table(std::shared_ptr<CallerConnection> const& caller, HTTP::RequestHead& head,
    RequestBody& body, Core::MonotonicTime received)
{
    auto const now = Core::monotonic_now();
    if (m_table || m_drain_started || m_deferred_requests.is_full())
        return false;
    auto const deadline = deferral_deadline(head, received);
    if (now >= deadline)
        return false;
    m_deferred_requests.add({caller, std::move(head), std::move(body), received, deadline});
    schedule_tick();
    return true;
}

Core::MonotonicTime GatewayServer::deferral_deadline(HTTP::RequestHead const& head, Core::MonotonicTime received) const
{
    auto const caller_timeout = read_caller_timeout(head, m_settings.dialect);
    return received + DeferredRequests::wait_limit(caller_timeout.value_or(DeferredRequests::s_max_wait * 4));
}

bool GatewayServer::is_table_outdated() const
{
    return m_table != nullptr && m_duty.knowledge(Core::monotonic_now()).versions.table > m_table->version();
}

bool GatewayServer::defer_until_newer_table(DeferredRequest request)
{
    if (m_drain_started || m_deferred_requests.is_full() || Core::monotonic_now() >= request.deadline)
        return false;
    m_deferred_requests.add(std::move(request));
    schedule_tick();
    return true;
}

void GatewayServer::start_deferred_requests()
{
    for (auto& request : m_deferred_requests.take_all())
        start_run(std::move(request.caller), std::move(request.head), std::move(request.body), request.received);
}

void GatewayServer::finish_expired_requests(Core::MonotonicTime now)
{
    for (auto& request : m_deferred_requests.take_expired(now))
        start_run(std::move(request.caller), std::move(request.head), std::move(request.body), request.received);
}

void GatewayServer::refuse(CallerConnection& caller, std::string const& id, Entry::ErrorAnswer const& error)
{
    m_metrics.note_end(0, error.outcome, error.code);
    auto const now = Core::monotonic_now();
    auto const known = m_duty.knowledge(now);
    m_log.write(
        Observe::LogEvent("refused")
            .add("request", id)
            .add("status", error.status)
            .add("reason", error.code)
            .add("table", m_table ? m_table->version().value() : 0)
            .add("table_age_ms", Core::elapsed(m_table_since, now))
            .add("newest_known", known.versions.table.value())
            .add("store_heard_ms", known.last_healthy_at ? Core::elapsed(*known.last_healthy_at, now).count() : -1));
    send_error_response(caller, error, id, m_settings.dialect);
}

std::optional<Entry::ErrorAnswer> GatewayServer::refuse_for_drain(
    RoutedRequest const& call, Core::MonotonicTime now) const
{
    if (!m_drain_started)
        return std::nullopt;
    auto const drain_time = Core::elapsed(*m_drain_started, now);
    auto const left = m_settings.drain_limit - s_drain_reserve - drain_time;
    // The duration of a stream is unknown, so that it needs the time limit of its route. Until the load balancer has
    // noticed the drain, streams are still accepted: callers cannot avoid this gateway yet, and most streams end in
    // time.
    auto const needed = call.is_stream() ? Core::elapsed(call.received, call.deadline)
                                         : call.request_class->first_token_target * s_targets_per_answer;
    if (call.is_stream() && drain_time <= m_settings.drain_notice)
        return std::nullopt;
    if (needed <= left)
        return std::nullopt;
    return Entry::ErrorAnswer {
        503, "stopping", "this gateway is stopping", Entry::Outcome::NotRun, m_settings.runs.retry_after};
}

void GatewayServer::wake()
{
    boost::asio::post(m_loop, [this] { apply_updates(); });
}

void GatewayServer::apply_updates()
{
    auto table = m_shared_table.current();
    bool const has_new_table = table && table != m_table;
    if (has_new_table) {
        m_table_since = Core::monotonic_now();
        auto const delay = table_delay(table->version());
        m_metrics.note_table(to_string(m_shared_table.source()), delay);
        m_log.write(Observe::LogEvent("table-in-force")
                        .add("table", table->version().value())
                        .add("before", m_table ? m_table->version().value() : 0)
                        .add("routes", table->routes().size())
                        .add("workspaces", table->workspaces().size())
                        .add("way", to_string(m_shared_table.source()))
                        .add("known_for_ms", delay));
        m_registry.gauge("granitefield_table_version").set(static_cast<std::int64_t>(table->version().value()));
        m_table = std::move(table);
        m_fleet.apply(*m_table);
        m_admission.shares().set_weights(workspace_weights(*m_table));
        auto const limits = m_table->caller_limits();
        m_limits = {{limits.head_bytes, limits.body_bytes}, limits.head_time, limits.idle_time};
    }
    apply_server_list();
    if (m_shared_drains != nullptr && m_shared_drains->version() != m_fleet.drains().version)
        m_fleet.apply(m_shared_drains->current(), Core::monotonic_now());
    bool const is_newly_ready = update_readiness() && m_is_ready;
    if (m_is_ready && (has_new_table || is_newly_ready) && !m_deferred_requests.is_empty())
        start_deferred_requests();
}

void GatewayServer::apply_server_list()
{
    auto const servers = m_shared_servers.current();
    if (!servers || servers == m_servers)
        return;
    m_servers = servers;
    auto const now = Core::monotonic_now();
    m_fleet.apply(*servers, now);
    m_streams.apply(*servers, now);
}

Core::Milliseconds GatewayServer::table_delay(Core::TableVersion version) const
{
    auto const known = m_duty.knowledge(m_table_since);
    bool const is_known = known.table_known_since && known.versions.table <= version;
    return is_known ? Core::elapsed(*known.table_known_since, m_table_since) : Core::Milliseconds(0);
}

void GatewayServer::apply_members()
{
    auto const members = m_membership.is_discovery_complete ? m_membership.load_members() : nullptr;
    if (members == m_members)
        return;
    m_members = members;
    m_fleet.apply(m_members.get());
}

bool GatewayServer::update_readiness()
{
    // Callers are better served by gateways that read the newest configuration. If none does, the platform uses all.
    bool const is_outdated = m_shared_table.is_outdated();
    bool const is_ready = m_table != nullptr && !is_outdated && m_fleet.listed_count() > 0 && !m_drain_started;
    if (is_ready == m_is_ready)
        return false;
    m_is_ready = is_ready;
    m_log.write(Observe::LogEvent("readiness")
                    .add("ready", is_ready)
                    .add("has_table", m_table != nullptr)
                    .add("outdated", is_outdated)
                    .add("servers", m_fleet.listed_count())
                    .add("draining", m_drain_started.has_value()));
    return true;
}

void GatewayServer::schedule_tick()
{
    bool const is_idle = m_runs.empty() && m_deferred_requests.is_empty();
    m_timer.expires_after(is_idle ? s_idle_tick_interval : s_tick_interval);
    m_timer.async_wait([this](auto const& error) {
        if (error)
            return;
        tick();
        schedule_tick();
    });
}

void GatewayServer::tick()
{
    auto const now = Core::monotonic_now();
    if (m_stalls.note_tick(now)) {
        m_log.write(Observe::LogEvent("was-away").add("in_flight", m_runs.size()));
        for (auto const& run : m_runs)
            run->note_process_stall(now);
    }
    m_context.entry_count = m_membership.peer_count + 1;
    apply_members();
    m_fleet.sample_prefill_load(now);
    m_crashes.tick(now);
    m_admission_monitor.tick(now);
    tick_runs(now);
    if (m_context.usage != nullptr)
        m_context.unconfirmed_runs.count_confirmed(*m_context.usage, now);
    m_context.unread_sends.drop_expired(now);
    finish_expired_requests(now);
    for (auto const& connection : m_connections)
        connection->tick(now);
    m_memory.publish();
    std::erase_if(m_connections, [](auto const& connection) { return connection->is_closed(); });
    if (m_drain_started)
        tick_drain(now);
}

void GatewayServer::tick_runs(Core::MonotonicTime now)
{
    std::vector<RequestForwarder*> waiting;
    for (auto const& run : m_runs) {
        if (run->is_waiting())
            waiting.push_back(run.get());
        else
            run->tick(now);
    }
    // A server may accept only one of them: order by priority, then by age.
    std::ranges::stable_sort(waiting, {}, [](auto const* run) { return run->request().priority; });
    for (auto* const run : waiting)
        run->tick(now);
    // Runs are removed only here, outside their own calls.
    std::erase_if(m_runs, [](auto const& run) { return run->is_over(); });
}

void GatewayServer::drain()
{
    boost::asio::post(m_loop, [this] {
        if (m_drain_started)
            return;
        m_drain_started = Core::monotonic_now();
        m_log.write(Observe::LogEvent("drain-begun").add("in_flight", m_runs.size()));
        update_readiness();
    });
}

void GatewayServer::reload(Settings const& settings)
{
    boost::asio::post(m_loop, [this, settings] {
        m_settings.drain_notice = settings.drain_notice;
        m_settings.drain_limit = settings.drain_limit;
        m_context.settings = settings.runs;
        m_admission.set_settings(settings.runs.admission);
        m_memory.set_limit(settings.runs.memory_limit);
        m_fleet.set_settings(settings.fleet);
    });
}

void GatewayServer::tick_drain(Core::MonotonicTime now)
{
    auto const drain_time = Core::elapsed(*m_drain_started, now);
    if (drain_time < m_settings.drain_notice)
        return;
    for (auto const& connection : m_connections)
        connection->close_if_idle();
    bool const is_idle = m_runs.empty() && m_connections.empty();
    if (!is_idle && drain_time < m_settings.drain_limit - s_drain_reserve)
        return;
    for (auto const& run : m_runs)
        run->abandon();
    m_log.write(Observe::LogEvent("drained").add("abandoned", m_runs.size()).add("after_ms", drain_time));
    m_loop.stop();
}

void GatewayServer::wait_until_drained()
{
    m_thread.join();
    m_thread = std::thread([] {});
}

nlohmann::json GatewayServer::usage_status(Cluster::SharedDuty const& usage, Core::MonotonicTime now)
{
    auto const lease = usage.status();
    nlohmann::json windows = nlohmann::json::array();
    for (auto const& [window, requests] : usage.window_totals()) {
        auto const left = usage.time_left(window, now);
        windows.push_back(
            {{"window", window.value()}, {"requests", requests}, {"late-in-ms", left ? left->count() : 0}});
    }
    return {{"lease-version", lease.version}, {"released", lease.is_released},
        {"holder-heard-ms-ago", lease.last_alive ? Core::elapsed(*lease.last_alive, now).count() : -1},
        {"windows", windows}};
}

nlohmann::json GatewayServer::quarantine_status(Policy::CrashLedger const& ledger, Core::MonotonicTime now)
{
    nlohmann::json list = nlohmann::json::array();
    for (auto const& item : ledger.quarantined()) {
        list.push_back({{"digest", item.digest.to_string()}, {"since-ms-ago", Core::elapsed(item.since, now).count()},
            {"asked-ms-ago", Core::elapsed(item.last_requested, now).count()}});
    }
    return list;
}

std::string GatewayServer::make_status() const
{
    auto const now = Core::monotonic_now();
    nlohmann::json servers = nlohmann::json::array();
    for (auto const& [instance, view] : m_fleet.all()) {
        auto const limit = m_fleet.rate_limit_of(view->id());
        servers.push_back({{"backend-server", instance}, {"service", view->record().service},
            {"address", view->record().address.to_string()}, {"domain", view->record().failure_domain},
            {"serving", view->accepts_new_requests()}, {"avoided", view->is_avoided(now)}, {"open", view->load().open},
            {"failure-rate", view->failure_rate(now)}, {"drained", view->is_drained()}, {"cold", view->is_cold(now)},
            {"backoff-ms", Core::elapsed(now, view->backoff().next_send(now)).count()},
            {"rate-limit", limit ? nlohmann::json(*limit) : nlohmann::json()}});
    }
    nlohmann::json status {{"role", "gateway"}, {"ready", m_is_ready.load()}, {"open-requests", m_runs.size()},
        {"connections", m_connections.size()}, {"table-version", m_table ? m_table->version().value() : 0},
        {"servers-revision", m_servers ? m_servers->revision.value() : 0}, {"backend-servers", servers}};
    status["drained-domains"] = m_fleet.drains().failure_domains;
    status["drains-version"] = m_fleet.drains().version.value();
    status["known-gateways"] = m_members ? nlohmann::json(m_members->peers.size()) : nlohmann::json();
    status["held-bytes"] = m_memory.account().total();
    status["admission"] = m_admission_monitor.status(m_table.get(), now);
    status["known-streams"] = m_streams.known_count();
    status["quarantined"] = quarantine_status(m_crashes.ledger(), now);
    if (m_context.usage != nullptr)
        status["usage"] = usage_status(*m_context.usage, now);
    return status.dump();
}

namespace {

/// Runs an action on the loop's thread and returns its result, or `fallback` if it does not run in time.
template <typename Action, typename Result = std::invoke_result_t<Action>>
Result run_on_loop(boost::asio::io_context& loop, Result fallback, Action action)
{
    auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    boost::asio::post(loop, [promise, action] { promise->set_value(action()); });
    return future.wait_for(s_status_timeout) == std::future_status::ready ? future.get() : fallback;
}

}

std::string GatewayServer::status()
{
    return run_on_loop(m_loop, std::string("{}"), [this] { return make_status(); });
}

bool GatewayServer::release(Core::RequestDigest const& digest)
{
    return run_on_loop(
        m_loop, false, [this, digest] { return m_crashes.ledger().release(digest, Core::monotonic_now()); });
}

std::uint16_t GatewayServer::caller_port() const
{
    return m_caller_acceptor.local_endpoint().port();
}

std::uint16_t GatewayServer::readiness_port() const
{
    return m_readiness_acceptor.local_endpoint().port();
}

}
