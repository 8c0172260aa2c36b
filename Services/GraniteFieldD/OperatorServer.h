#pragma once

#include <LibCore/Address.h>
#include <LibHTTP/HttpServer.h>
#include <LibObserve/DecisionRing.h>
#include <LibObserve/Metrics.h>

#include <functional>
#include <map>
#include <string>

namespace GraniteField::Daemon {

/// The operators' port of a daemon: health, metrics, status, and what was decided about requests.
///
/// `GET /healthz`, `/readyz`, `/metrics`, `/status`, `/decisions/<request>`, `/decisions`; a role adds more.
class OperatorServer {
public:
    struct Sources {
        std::function<bool()> is_ready;
        std::function<std::string()> status;
        /// Further actions by method and path, such as `POST /drain`.
        std::map<std::string, HTTP::HttpServer::Handler> actions;
    };

    OperatorServer(Core::Address const&, Sources, Observe::MetricRegistry&, Observe::DecisionRing&);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    [[nodiscard]] HTTP::ServerResponse handle(HTTP::ServerRequest const&) const;
    [[nodiscard]] HTTP::ServerResponse decisions_about(std::string const& request) const;

    Sources m_sources;
    Observe::MetricRegistry& m_metrics;
    Observe::DecisionRing& m_decisions;
    HTTP::HttpServer m_server;
};

}
