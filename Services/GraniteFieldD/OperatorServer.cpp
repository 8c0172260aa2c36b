#include "OperatorServer.h"

#include <LibCore/Text.h>
#include <LibCore/Thread.h>
#include <LibObserve/ProcessUsage.h>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Daemon {

namespace {

constexpr std::size_t s_recent_decisions = 200;

nlohmann::json to_json(std::vector<Observe::Decision> const& decisions)
{
    auto list = nlohmann::json::array();
    for (auto const& decision : decisions) {
        list.push_back({{"time", absl::FormatTime(absl::FromChrono(decision.time), absl::UTCTimeZone())},
            {"request", decision.request.to_string()}, {"what", decision.what}});
    }
    return list;
}

HTTP::ServerResponse plain(int status, std::string text)
{
    return {status, "text/plain", {}, std::move(text)};
}

}

OperatorServer::OperatorServer(Core::Address const& address, Sources sources, Observe::MetricRegistry& metrics,
    Observe::DecisionRing& decisions, Core::ListenRetry::Events const& events)
    : m_address(address)
    , m_sources(std::move(sources))
    , m_metrics(metrics)
    , m_decisions(decisions)
    , m_port(address.port())
{
    try {
        listen();
    } catch (std::exception const& error) {
        events.on_waiting(m_address, error.what());
        m_thread = Core::start_thread("operators", [this, events] { wait_to_listen(events); });
    }
}

OperatorServer::~OperatorServer()
{
    m_pause.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void OperatorServer::listen()
{
    m_server.emplace(m_address, [this](auto const& request) { return handle(request); });
    m_port = m_server->port();
}

void OperatorServer::wait_to_listen(Core::ListenRetry::Events const& events)
{
    auto const start = Core::monotonic_now();
    while (true) {
        m_pause.wait(Core::ListenRetry::s_interval);
        if (m_pause.is_stopped())
            return;
        try {
            listen();
            return events.on_listening(m_address, Core::elapsed(start, Core::monotonic_now()));
        } catch (std::exception const&) {
            // The reason was reported when the wait began.
            continue;
        }
    }
}

HTTP::ServerResponse OperatorServer::decisions_about(std::string const& text) const
{
    auto const request = Core::RequestId::from_string(text);
    if (!request)
        return plain(400, "a request's name has 32 hexadecimal digits\n");
    return {200, "application/json", {}, to_json(m_decisions.about(*request)).dump()};
}

HTTP::ServerResponse OperatorServer::handle(HTTP::ServerRequest const& request) const
{
    auto const action = m_sources.actions.find(request.method + " " + request.path);
    if (action != m_sources.actions.end())
        return action->second(request);
    if (request.method != "GET")
        return plain(405, "only GET is understood here\n");
    if (request.path == "/healthz")
        return plain(200, "alive\n");
    if (request.path == "/readyz")
        return m_sources.is_ready() ? plain(200, "ready\n") : plain(503, "not ready\n");
    if (request.path == "/metrics") {
        Observe::update_process_usage(m_metrics);
        return {200, "text/plain; version=0.0.4", {}, m_metrics.to_text()};
    }
    if (request.path == "/status")
        return {200, "application/json", {}, m_sources.status()};
    if (request.path == "/decisions")
        return {200, "application/json", {}, to_json(m_decisions.recent(s_recent_decisions)).dump()};
    std::string_view path = request.path;
    if (Core::consume_prefix(path, "/decisions/"))
        return decisions_about(std::string(path));
    return plain(404, "there is nothing here\n");
}

}
