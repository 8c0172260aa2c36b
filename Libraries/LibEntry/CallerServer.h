#pragma once

#include <LibCore/Address.h>
#include <LibCore/Identifiers.h>
#include <LibCore/ListenRetry.h>
#include <LibEntry/Router.h>
#include <LibEntry/SharedTable.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <microhttpd.h>

namespace GraniteField::Entry {

/// HTTP server for callers; a few threads with epoll serve all connections. Validates requests and passes them to the
/// router; a connection that waits for its answer is suspended.
class CallerServer {
public:
    struct Settings {
        Core::Address address;
        Core::ListenRetry listen;
        unsigned threads {4};
        unsigned max_connections {20'000};
        std::size_t max_body_bytes {4U << 20U};
        /// Time without traffic after which a connection is closed.
        std::chrono::seconds idle_timeout {60};
    };

    CallerServer(Settings, Core::Incarnation, Router&, SharedTable const&, Observe::MetricRegistry&);
    ~CallerServer();
    CallerServer(CallerServer const&) = delete;
    CallerServer& operator=(CallerServer const&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// Accepts no further connections and asks the callers of open ones to close after their answer.
    void stop_listening();

private:
    struct Connection;

    [[nodiscard]] MHD_Daemon* listen();
    static MHD_Result handle(
        void*, MHD_Connection*, char const*, char const*, char const*, char const*, std::size_t*, void**);
    static void* begin_connection(void*, char const*, MHD_Connection*);
    static void end_request(void*, MHD_Connection*, void**, MHD_RequestTerminationCode);
    MHD_Result handle(MHD_Connection*, char const* method, char const* upload, std::size_t& upload_size, Connection&);
    MHD_Result submit(MHD_Connection*, char const* method, Connection&);
    MHD_Result refuse(MHD_Connection*, ErrorAnswer const&, Core::RequestId);

    Settings m_settings;
    Core::Incarnation m_incarnation;
    Router& m_router;
    SharedTable const& m_table;
    Observe::MetricRegistry& m_metrics;
    std::atomic<std::uint64_t> m_next_sequence {1};
    std::atomic<bool> m_is_closing {false};
    MHD_Daemon* m_daemon {nullptr};
};

}
