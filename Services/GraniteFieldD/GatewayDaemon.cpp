#include "GatewayDaemon.h"

#include "Announcement.h"
#include "OperatorServer.h"

#include <LibCluster/DutyThread.h>
#include <LibCluster/QuarantineKeeper.h>
#include <LibCluster/UsageReporter.h>
#include <LibCore/Hashing.h>
#include <LibCore/Thread.h>
#include <LibEntry/PeerExchange.h>
#include <LibEntry/PeerView.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/WatchDuty.h>
#include <LibGateway/GatewayServer.h>
#include <LibGateway/ListConfirmer.h>
#include <LibGateway/StreamArchiveKeeper.h>
#include <LibObserve/CrashReport.h>
#include <LibObserve/EventLog.h>
#include <LibPlatform/ObjectCodec.h>
#include <LibPlatform/ObjectFollower.h>
#include <LibTable/TablePages.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <thread>
#include <unistd.h>

#include <platform/Decoders.h>
#include <platform/StoreSinks.h>
#include <platform/UsageClient.h>

namespace GraniteField::Daemon {

namespace {

constexpr int s_io_threads = 1;
/// How often the settings file is looked at, beside the signal that tells of a change.
constexpr Core::Milliseconds s_settings_interval {2'000};
/// A list takes the store some milliseconds a page, and a busy process some wake-ups.
constexpr Core::Milliseconds s_time_to_list {200};
/// From the takeover of a watch until all gateways have what it reads.
constexpr Core::Milliseconds s_time_to_spread {500};
/// A shorter wait would only cost calls.
constexpr Core::Milliseconds s_shortest_watch_wait {500};

/// Stands for the time within which a gateway that reaches the store is in step with it, where nobody says.
constexpr Core::Milliseconds s_contact_time {3'000};

/// The wait of a watch, such that one which hangs is noticed, and a list read in its place, within the contact time.
Core::Milliseconds watch_wait(Entry::PlatformSettings const& platform)
{
    if (!platform.contact_time)
        return platform.watch_wait;
    auto const longest = *platform.contact_time - platform.call_timeout - s_time_to_list;
    return std::min(platform.watch_wait, std::max(longest, s_shortest_watch_wait));
}

/// The longest wait of a watch on which other gateways rely, such that a change is in force in time even if the store
/// has fallen silent to all watchers at the start of their waits.
// FIXME: A change in the pause before the wait (pause_after_news) takes effect later by up to that pause.
Core::Milliseconds relied_on_wait(
    Core::Milliseconds contact_time, Core::Milliseconds apply_limit, Core::Milliseconds watch_grace)
{
    auto const takeover = Entry::WatchDuty::min_silence_timeout(contact_time) + s_time_to_spread;
    return std::max(apply_limit - watch_grace - takeover, s_shortest_watch_wait);
}

Platform::FollowerSettings follower_settings(Entry::PlatformSettings const& platform)
{
    Platform::FollowerSettings settings;
    settings.store = platform.address;
    settings.call_timeout = platform.call_timeout;
    settings.watch_wait = watch_wait(platform);
    settings.shortest_pause = platform.min_retry_delay;
    settings.longest_pause = platform.max_retry_delay;
    return settings;
}

HTTP::ServerResponse show_table(Entry::SharedTable const& shared)
{
    auto const table = shared.current();
    if (table == nullptr)
        return {503, "text/plain", {}, "there is no table yet\n"};
    nlohmann::json const json {{"version", table->version().value()}, {"table", Table::encode_table(*table)}};
    return {200, "application/json", {}, json.dump()};
}

/// Lets a request go that is held back for crashing backend servers.
HTTP::ServerResponse release_request(HTTP::ServerRequest const& request, Gateway::GatewayServer& server)
{
    auto const text = request.query.find("digest");
    auto const digest = text == request.query.end() ? std::nullopt : Core::RequestDigest::from_string(text->second);
    if (!digest)
        return {400, "text/plain", {}, "digest must be 32 hexadecimal digits\n"};
    nlohmann::json const answer {{"released", server.release(*digest)}};
    return {200, "application/json", {}, answer.dump()};
}

/// This gateway's part in reporting usage, on a thread of its own.
class UsageDuty {
public:
    UsageDuty(Settings::DaemonSettings const& settings, std::uint64_t incarnation, Cluster::SharedDuty& usage,
        Entry::WatchDuty& watching, Observe::EventLog& log, Observe::MetricRegistry& metrics)
        : m_store(settings.gateway.platform.address, settings.gateway.platform.call_timeout)
        , m_recipient(settings.gateway.duties->address, log)
        , m_reporter(lease_settings(settings), incarnation, order_of(settings.common.name), Core::monotonic_now, usage,
              m_store, m_recipient, log, metrics)
        , m_thread(
              m_reporter, [&watching] { return watching.follows_store(); },
              Observe::UnexpectedFailures("usage", log, metrics))
    {
    }

private:
    using Reporter = Cluster::UsageReporter<Platform::ObjectClient, Platform::UsageClient>;

    static Cluster::DutySettings lease_settings(Settings::DaemonSettings const& settings)
    {
        auto lease = settings.gateway.duties->lease;
        lease.name = settings.common.name;
        lease.address = settings.gateway.peers.address.to_string();
        return lease;
    }

    /// A number from 0 to 1 that each gateway has of its own.
    static double order_of(std::string const& name)
    {
        constexpr std::uint64_t steps = 1'000;
        return static_cast<double>(Core::hash_bytes(name) % steps) / steps;
    }

    Platform::ObjectClient m_store;
    Platform::UsageClient m_recipient;
    Reporter m_reporter;
    Cluster::DutyThread<Reporter> m_thread;
};

/// Keeps quarantined requests in the store, on a thread of its own.
class QuarantineDuty {
public:
    QuarantineDuty(Entry::PlatformSettings const& platform, Cluster::SharedQuarantine& shared,
        Entry::WatchDuty& watching, Observe::EventLog& log, Observe::MetricRegistry& metrics)
        : m_store(platform.address, platform.call_timeout, {.max_bytes = Platform::s_max_entry_bytes})
        , m_keeper(shared, m_store, log)
        , m_thread(
              m_keeper, [&watching] { return watching.follows_store(); },
              Observe::UnexpectedFailures("quarantine", log, metrics))
    {
    }

private:
    using Keeper = Cluster::QuarantineKeeper<Platform::ObjectClient>;

    Platform::ObjectClient m_store;
    Keeper m_keeper;
    Cluster::DutyThread<Keeper> m_thread;
};

/// Keeps the software versions of streams in the store, on a thread of its own.
class StreamArchiveDuty {
public:
    StreamArchiveDuty(Settings::DaemonSettings const& settings, Gateway::StreamArchive& archive,
        Entry::SharedMembership const& membership, Entry::WatchDuty& watching, Observe::EventLog& log,
        Observe::MetricRegistry& metrics)
        : m_store(settings.gateway.platform.address, settings.gateway.platform.call_timeout,
            {.max_bytes = Keeper::s_max_object_bytes})
        , m_keeper({settings.common.name, settings.gateway.platform.writes_per_second,
                       [&membership] { return membership.peer_count + std::size_t {1}; }},
              archive, m_store, log)
        , m_thread(
              m_keeper, [&watching] { return watching.follows_store(); },
              Observe::UnexpectedFailures("streams", log, metrics))
    {
    }

private:
    using Keeper = Gateway::StreamArchiveKeeper<Platform::ObjectClient>;

    Platform::ObjectClient m_store;
    Keeper m_keeper;
    Cluster::DutyThread<Keeper> m_thread;
};

/// Confirms the list of servers at the store on demand, on a thread of its own.
class ListConfirmationDuty {
public:
    ListConfirmationDuty(Entry::PlatformSettings const& platform, Gateway::ListConfirmation& confirmation,
        Entry::SharedServers const& servers, Observe::EventLog& log, Observe::MetricRegistry& metrics)
        : m_confirmation(confirmation)
        , m_store(platform.address, platform.call_timeout, {.max_bytes = Platform::s_max_entry_bytes})
        , m_confirmer({std::string(Platform::servers_kind()),
                          [](auto const& object) { return Platform::decode_server(object, Core::monotonic_now()); }},
              confirmation, servers, m_store, log, metrics)
        , m_thread(Core::start_thread("confirm", [this] { m_confirmer.run(); }))
    {
    }

    ~ListConfirmationDuty()
    {
        m_confirmation.stop();
        m_store.abort();
        m_thread.join();
    }
    ListConfirmationDuty(ListConfirmationDuty const&) = delete;
    ListConfirmationDuty& operator=(ListConfirmationDuty const&) = delete;

private:
    Gateway::ListConfirmation& m_confirmation;
    Platform::ObjectClient m_store;
    Gateway::ListConfirmer<Platform::ObjectClient> m_confirmer;
    std::thread m_thread;
};

/// Reads the settings again. What holds for the running process is taken over; a file that can't be read changes
/// nothing.
void reload(SettingsFile& file, Gateway::GatewayServer& server, Observe::EventLog& log)
{
    try {
        auto const settings = file.read();
        server.reload(settings.gateway.server);
        log.write(Observe::LogEvent("reload").add("outcome", "done"));
    } catch (std::exception const& error) {
        log.write(Observe::LogEvent("reload").add("outcome", "rejected").add("reason", error.what()));
    }
}

/// Waits until the process is told to stop, and reads the settings again when their file changes.
void follow_signals(SignalWait const& wait, SettingsFile& file, Gateway::GatewayServer& server, Observe::EventLog& log)
{
    while (true) {
        auto const signal = wait(s_settings_interval);
        if (signal == Signal::Stop)
            return;
        if (signal == Signal::Reload)
            reload(file, server, log);
    }
}

}

void run_gateway(Settings::DaemonSettings const& settings, SignalWait const& wait_for_signal, SettingsFile& file)
{
    auto const& common = settings.common;
    Observe::MetricRegistry metrics;
    Observe::DecisionRing decisions(common.decisions_kept);
    auto const log_incarnation = Core::draw_incarnation();
    Observe::EventLog log(STDOUT_FILENO, common.name, log_incarnation, metrics, Observe::EventLog::Output::Held);
    Observe::install_crash_report(STDOUT_FILENO, common.name, log_incarnation);

    zmq::context_t context(s_io_threads);
    Entry::SharedTable table;
    Entry::SharedDrains drains;
    Entry::SharedServers servers;
    Entry::SharedMembership membership;
    auto server_settings = settings.gateway.server;
    server_settings.dialect = Platform::platform_dialect();
    auto const events = listen_events(wait_for_signal, &log);
    server_settings.listen = Core::ListenRetry(events);
    auto const contact_time = settings.gateway.platform.contact_time.value_or(s_contact_time);
    auto const& drain_limit = settings.gateway.platform.drain_limit;
    auto const table_limit = settings.gateway.platform.apply_limit.value_or(Entry::WatchDuty::s_apply_limit);
    auto const apply_limit = std::min(table_limit, drain_limit.value_or(table_limit));
    auto const* const watched_drains = drain_limit ? &drains : nullptr;
    Entry::WatchDuty duty(
        contact_time, Core::hash_bytes(common.name), table, servers, log, metrics, apply_limit, watched_drains);
    auto const incarnation = Core::draw_incarnation().value();
    auto const& duties = settings.gateway.duties;
    std::optional<Cluster::SharedDuty> usage;
    if (duties)
        usage.emplace(duties->usage, incarnation, Core::monotonic_now());
    Cluster::SharedQuarantine quarantine;
    Gateway::StreamArchive archive;
    Gateway::ListConfirmation confirmation;
    Gateway::GatewayServer server(server_settings, table, servers, membership, duty, log, metrics,
        usage ? &*usage : nullptr, &quarantine, watched_drains, &archive, &confirmation);
    auto peer_settings = settings.gateway.peers;
    peer_settings.load_address = server.load_address();
    peer_settings.listen = server_settings.listen;
    Entry::PeerExchange peers(peer_settings, context, table, drains, servers, membership,
        {[&server] { server.wake(); }, [&duty](bool is_elected) { duty.set_elected(is_elected); },
            [&duty] { return duty.follows_store(); },
            [&duty] { return duty.knowledge(Core::monotonic_now()).versions; }},
        metrics);
    auto const tell_all = [&server, &peers] {
        server.wake();
        peers.wake();
    };
    OperatorServer::Sources sources;
    sources.is_ready = [&server] { return server.is_ready(); };
    sources.status = [&server] { return server.status(); };
    sources.actions["GET /table"] = [&table](auto const&) { return show_table(table); };
    sources.actions["POST /quarantine/release"]
        = [&server](auto const& request) { return release_request(request, server); };
    OperatorServer const operators(common.operator_address, std::move(sources), metrics, decisions, events);
    announce({{"role", "gateway"}, {"callers", server.caller_port()}, {"readiness", server.readiness_port()},
                 {"operator", operators.port()}, {"peers", peers.port()}},
        log);
    log.write(Observe::LogEvent("start")
                  .add("role", "gateway")
                  .add("callers", server.caller_port())
                  .add("readiness", server.readiness_port())
                  .add("operator", operators.port())
                  .add("peers", peers.port()));
    Platform::ConfigurationSink configuration_sink(table, tell_all, log, metrics);
    Platform::ServersSink servers_sink(servers, tell_all, log, metrics);
    auto store = follower_settings(settings.gateway.platform);
    auto const longest_wait = relied_on_wait(contact_time, apply_limit, store.watch_grace);
    store.longest_wait = [&membership, longest_wait] {
        // In a small fleet every gateway watches for itself.
        return membership.peer_count < Entry::PeerView::s_small_fleet ? Core::Milliseconds::max() : longest_wait;
    };
    // All followers count, each with a connection of its own.
    std::atomic<int> lost_count {0};
    store.on_change = [&peers, &lost_count](bool is_reachable) {
        lost_count += is_reachable ? -1 : 1;
        peers.set_platform_reachable(lost_count == 0);
    };
    auto configuration_store = store;
    configuration_store.filter.name = Platform::configuration_name();
    Platform::ObjectFollower const configuration(configuration_store, std::string(Platform::configuration_kind()),
        configuration_sink, Entry::WatchDuty::Follower(duty, Entry::WatchElection::Watch::Table), log, metrics);
    store.filter.max_bytes = Platform::s_max_entry_bytes;
    Platform::ObjectFollower const backend_servers(store, std::string(Platform::servers_kind()), servers_sink,
        Entry::WatchDuty::Follower(duty, Entry::WatchElection::Watch::Servers), log, metrics);
    Platform::DrainsSink drains_sink(drains, tell_all, log, metrics);
    std::optional<Platform::ObjectFollower<Platform::DrainsSink, Entry::WatchDuty::Follower>> drains_follower;
    if (drain_limit)
        drains_follower.emplace(store, std::string(Platform::drains_kind()), drains_sink,
            Entry::WatchDuty::Follower(duty, Entry::WatchElection::Watch::Drains), log, metrics);
    std::optional<QuarantineDuty> quarantine_duty(
        std::in_place, settings.gateway.platform, quarantine, duty, log, metrics);
    std::optional<StreamArchiveDuty> archive_duty(std::in_place, settings, archive, membership, duty, log, metrics);
    std::optional<ListConfirmationDuty> confirmation_duty(
        std::in_place, settings.gateway.platform, confirmation, servers, log, metrics);
    std::optional<UsageDuty> usage_duty;
    if (duties)
        usage_duty.emplace(settings, incarnation, *usage, duty, log, metrics);
    follow_signals(wait_for_signal, file, server, log);
    log.write(Observe::LogEvent("stop"));
    server.drain();
    usage_duty.reset();
    quarantine_duty.reset();
    archive_duty.reset();
    confirmation_duty.reset();
    server.wait_until_drained();
    log.write(Observe::LogEvent("stopped"));
}

}
