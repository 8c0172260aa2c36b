#include "EntryDaemon.h"

#include "Announcement.h"
#include "OperatorServer.h"

#include <LibEntry/CallerServer.h>
#include <LibEntry/HostFollower.h>
#include <LibEntry/PeerExchange.h>
#include <LibEntry/Router.h>
#include <LibEntry/SharedTable.h>
#include <LibEntry/TableFollower.h>
#include <LibObserve/CrashReport.h>

#include <atomic>
#include <memory>
#include <thread>
#include <unistd.h>

#include <glog/logging.h>

namespace GraniteField::Daemon {

namespace {

constexpr int s_io_threads = 1;
constexpr Core::Milliseconds s_drain_poll {20};

void wait_until_idle(Entry::Router const& router, Core::Milliseconds limit)
{
    auto const deadline = Core::monotonic_now() + limit;
    while (router.open_count() > 0 && Core::monotonic_now() < deadline)
        std::this_thread::sleep_for(s_drain_poll);
    if (router.open_count() > 0)
        LOG(WARNING) << "daemon: stops with " << router.open_count() << " requests in flight, after " << limit.count()
                     << " ms";
}

}

void run_entry(Settings::DaemonSettings const& settings, SignalWait const& wait_for_signal)
{
    auto const& common = settings.common;
    auto const incarnation = Core::draw_incarnation();
    Observe::install_crash_report(STDERR_FILENO, common.name, incarnation);
    Observe::MetricRegistry metrics;
    Observe::DecisionRing decisions(common.decisions_kept);
    std::unique_ptr<Observe::SpanExporter> spans;
    if (common.trace_collector)
        spans = std::make_unique<Observe::SpanExporter>(*common.trace_collector, "granitefield-entry", metrics);

    zmq::context_t context(s_io_threads);
    Entry::SharedTable table;
    Entry::SharedDrains drains;
    Entry::SharedServers servers;
    Entry::SharedMembership membership;
    auto router_settings = settings.entry.router;
    router_settings.links.link.own_incarnation = incarnation;
    Entry::Router router(router_settings, context, table, drains, membership, metrics, decisions, spans.get());
    auto const events = listen_events(wait_for_signal);
    auto peer_settings = settings.entry.peers;
    peer_settings.listen = Core::ListenRetry(events);
    Entry::PeerExchange peers(
        peer_settings, context, table, drains, servers, membership, {[&router] { router.wake(); }}, metrics);
    auto const tell_all = [&router, &peers] {
        router.wake();
        peers.wake();
    };
    Entry::TableFollower const table_follower(settings.entry.platform, table, peers, tell_all, metrics);
    Entry::HostFollower const host_follower(settings.entry.platform, drains, peers, tell_all, metrics);
    auto caller_settings = settings.entry.callers;
    caller_settings.listen = Core::ListenRetry(events);
    Entry::CallerServer callers(caller_settings, incarnation, router, table, metrics);

    std::atomic<bool> is_stopping {false};
    OperatorServer::Sources sources;
    sources.is_ready = [&] { return !is_stopping && table.current() != nullptr && router.has_backends(); };
    sources.status = [&router] { return router.status(); };
    OperatorServer const operators(common.operator_address, std::move(sources), metrics, decisions, events);

    announce({{"role", "entry"}, {"callers", callers.port()}, {"operator", operators.port()}, {"peers", peers.port()}});
    LOG(INFO) << "daemon: entry " << common.name << " takes callers on port " << callers.port();
    wait_for_stop(wait_for_signal);

    LOG(INFO) << "daemon: stopping as planned";
    is_stopping = true;
    // The balancer sees the readiness fall before the listener closes.
    std::this_thread::sleep_for(common.drain_notice);
    callers.stop_listening();
    wait_until_idle(router, common.drain_limit);
    LOG(INFO) << "daemon: stopped";
}

}
