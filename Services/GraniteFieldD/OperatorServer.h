#pragma once

#include <LibCore/Address.h>
#include <LibCore/Backoff.h>
#include <LibCore/ListenRetry.h>
#include <LibHTTP/HttpServer.h>
#include <LibObserve/DecisionRing.h>
#include <LibObserve/Metrics.h>

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

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

    /// Where the address can't be had, a thread waits for it, and the daemon serves without it until then. Of the
    /// events only the reports are used.
    OperatorServer(Core::Address const&, Sources, Observe::MetricRegistry&, Observe::DecisionRing&,
        Core::ListenRetry::Events const&);
    ~OperatorServer();
    OperatorServer(OperatorServer const&) = delete;
    OperatorServer& operator=(OperatorServer const&) = delete;

    /// The port it listens on, or waits for.
    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    void listen();
    void wait_to_listen(Core::ListenRetry::Events const&);
    [[nodiscard]] HTTP::ServerResponse handle(HTTP::ServerRequest const&) const;
    [[nodiscard]] HTTP::ServerResponse decisions_about(std::string const& request) const;

    Core::Address m_address;
    Sources m_sources;
    Observe::MetricRegistry& m_metrics;
    Observe::DecisionRing& m_decisions;
    std::atomic<std::uint16_t> m_port;
    std::optional<HTTP::HttpServer> m_server;
    /// Only its stop() is of use here.
    Core::Backoff m_pause {Core::ListenRetry::s_interval, Core::ListenRetry::s_interval};
    std::thread m_thread;
};

}
