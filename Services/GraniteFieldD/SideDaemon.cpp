#include "SideDaemon.h"

#include "Announcement.h"
#include "OperatorServer.h"

#include <LibObserve/CrashReport.h>
#include <LibSide/SideAuthority.h>

#include <memory>
#include <thread>
#include <unistd.h>

#include <glog/logging.h>

namespace GraniteField::Daemon {

namespace {

constexpr int s_io_threads = 1;
constexpr Core::Milliseconds s_drain_poll {20};

void wait_until_drained(Side::SideAuthority const& authority, Core::Milliseconds limit)
{
    auto const deadline = Core::monotonic_now() + limit;
    while (!authority.is_drained() && Core::monotonic_now() < deadline)
        std::this_thread::sleep_for(s_drain_poll);
    if (!authority.is_drained())
        LOG(WARNING) << "daemon: stops with work in flight, after " << limit.count() << " ms";
}

}

void run_side(Settings::DaemonSettings const& settings, SignalWait const& wait_for_signal)
{
    auto const& common = settings.common;
    Observe::MetricRegistry metrics;
    Observe::DecisionRing decisions(common.decisions_kept);
    std::unique_ptr<Observe::SpanExporter> spans;
    if (common.trace_collector)
        spans = std::make_unique<Observe::SpanExporter>(*common.trace_collector, "granitefield-side", metrics);

    zmq::context_t context(s_io_threads);
    auto const events = listen_events(wait_for_signal);
    auto side_settings = settings.side;
    side_settings.listen = Core::ListenRetry(events);
    Side::SideAuthority authority(side_settings, context, metrics, decisions, spans.get());
    Observe::install_crash_report(STDERR_FILENO, common.name, authority.incarnation());

    OperatorServer::Sources sources;
    sources.is_ready = [&authority] { return !authority.is_draining(); };
    sources.status = [&authority] { return authority.status(); };
    sources.actions["POST /drain"] = [&authority](auto const&) {
        authority.drain();
        return HTTP::ServerResponse {200, "text/plain", {}, "draining\n"};
    };
    sources.actions["POST /undrain"] = [&authority](auto const&) {
        authority.undrain();
        return HTTP::ServerResponse {200, "text/plain", {}, "taking new work\n"};
    };
    OperatorServer const operators(common.operator_address, std::move(sources), metrics, decisions, events);

    announce({{"role", "side"}, {"link", authority.port()}, {"operator", operators.port()}});
    wait_for_stop(wait_for_signal);

    LOG(INFO) << "daemon: stopping as planned";
    authority.drain();
    wait_until_drained(authority, common.drain_limit);
    LOG(INFO) << "daemon: stopped";
}

}
