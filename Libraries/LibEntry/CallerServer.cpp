#include <LibEntry/CallerServer.h>

#include <LibEntry/CallInterpreter.h>
#include <LibHTTP/Microhttpd.h>
#include <LibSide/TicketBook.h>

#include <cerrno>
#include <system_error>

#include <glog/logging.h>
#include <unistd.h>

namespace GraniteField::Entry {

namespace {

/// Memory for a connection's request line and headers; a larger request is rejected with status 431.
constexpr std::size_t s_connection_memory_bytes = 32'768;
constexpr Core::Milliseconds s_busy_retry_after {1'000};

}

/// The request that a connection is receiving or waiting for.
struct CallerServer::Connection {
    std::string target;
    bool has_headers {false};
    bool is_body_too_large {false};
    std::string body;
    std::shared_ptr<CallerExchange> exchange;
};

CallerServer::CallerServer(Settings settings, Core::Incarnation incarnation, Router& router, SharedTable const& table,
    Observe::MetricRegistry& metrics)
    : m_settings(std::move(settings))
    , m_incarnation(incarnation)
    , m_router(router)
    , m_table(table)
    , m_metrics(metrics)
{
    m_daemon = m_settings.listen.listen(m_settings.address, [this] { return listen(); });
}

MHD_Daemon* CallerServer::listen()
{
    HTTP::BindAddress const bind_address(m_settings.address);
    unsigned const flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | bind_address.flags();
    errno = 0;
    auto* daemon = MHD_start_daemon(flags, m_settings.address.port(), nullptr, nullptr, handle, this,
        MHD_OPTION_SOCK_ADDR, bind_address.socket_address(), MHD_OPTION_THREAD_POOL_SIZE, m_settings.threads,
        MHD_OPTION_CONNECTION_LIMIT, m_settings.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        s_connection_memory_bytes, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(m_settings.idle_timeout.count()), MHD_OPTION_URI_LOG_CALLBACK, begin_connection, this,
        MHD_OPTION_NOTIFY_COMPLETED, end_request, this, MHD_OPTION_END);
    if (daemon == nullptr)
        throw std::system_error(errno, std::generic_category(), "can't listen on " + m_settings.address.to_string());
    return daemon;
}

CallerServer::~CallerServer()
{
    MHD_stop_daemon(m_daemon);
}

std::uint16_t CallerServer::port() const
{
    return HTTP::listening_port(m_daemon);
}

void CallerServer::stop_listening()
{
    m_is_closing = true;
    auto const socket = MHD_quiesce_daemon(m_daemon);
    if (socket != MHD_INVALID_SOCKET)
        ::close(socket);
}

void* CallerServer::begin_connection(void*, char const* target, MHD_Connection*)
{
    auto* connection = new Connection;
    connection->target = target;
    return connection;
}

void CallerServer::end_request(void*, MHD_Connection*, void** context, MHD_RequestTerminationCode code)
{
    std::unique_ptr<Connection> const connection(static_cast<Connection*>(*context));
    *context = nullptr;
    if (connection && connection->exchange)
        connection->exchange->detach(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

MHD_Result CallerServer::handle(void* server, MHD_Connection* mhd_connection, char const*, char const* method,
    char const*, char const* upload, std::size_t* upload_size, void** context)
{
    auto& connection = *static_cast<Connection*>(*context);
    try {
        return static_cast<CallerServer*>(server)->handle(mhd_connection, method, upload, *upload_size, connection);
    } catch (std::exception const& error) {
        LOG(ERROR) << "callers: handling a request failed: " << error.what();
        return MHD_NO;
    }
}

MHD_Result CallerServer::handle(MHD_Connection* mhd_connection, char const* method, char const* upload,
    std::size_t& upload_size, Connection& connection)
{
    // libmicrohttpd passes only the headers with the first call; the body follows with further calls.
    if (!connection.has_headers) {
        connection.has_headers = true;
        return MHD_YES;
    }
    if (connection.exchange)
        return connection.exchange->has_answer() ? connection.exchange->respond() : MHD_YES;
    if (upload_size > 0) {
        if (connection.body.size() + upload_size > m_settings.max_body_bytes)
            connection.is_body_too_large = true;
        else
            connection.body.append(upload, upload_size);
        upload_size = 0;
        return MHD_YES;
    }
    return submit(mhd_connection, method, connection);
}

MHD_Result CallerServer::submit(MHD_Connection* mhd_connection, char const* method, Connection& connection)
{
    Core::RequestId const id {m_incarnation.value(), m_next_sequence.fetch_add(1)};
    if (connection.is_body_too_large)
        return refuse(mhd_connection,
            {413, "body_too_large", "the body exceeds the limit of this entry", Outcome::NotRun, Core::Milliseconds(0)},
            id);
    auto const table = m_table.current();
    if (!table)
        return refuse(mhd_connection,
            {503, "no_table", "this entry has not received a table yet", Outcome::NotRun, s_busy_retry_after}, id);
    RawCall raw {method, std::move(connection.target), HTTP::collect_values(mhd_connection, MHD_HEADER_KIND),
        std::move(connection.body)};
    auto const key = raw.headers.find("idempotency-key");
    bool const has_ticket = key != raw.headers.end() && Side::Ticket::looks_like_ticket(key->second);
    auto interpreted = interpret_call(std::move(raw), *table, id, Core::monotonic_now());
    if (auto* error = std::get_if<ErrorAnswer>(&interpreted)) {
        // An earlier request with the ticket may have run; only its side process knows.
        if (has_ticket)
            error->outcome = Outcome::Unknown;
        m_metrics.counter("granitefield_entry_rejected_total", {{"code", error->code}}).add();
        return refuse(mhd_connection, *error, id);
    }
    auto const* info = MHD_get_connection_info(mhd_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    connection.exchange = std::make_shared<CallerExchange>(id, mhd_connection, info == nullptr ? -1 : info->connect_fd);
    auto submission = std::make_unique<Router::Submission>(
        Router::Submission {std::get<Call>(std::move(interpreted)), connection.exchange});
    bool const is_earlier_use_unknown = !submission->call.ticket.empty();
    connection.exchange->suspend();
    if (m_router.try_submit(submission))
        return MHD_YES;
    ErrorAnswer const error {503, "entry_busy", "this entry has too many requests waiting to be admitted",
        is_earlier_use_unknown ? Outcome::Unknown : Outcome::NotRun, s_busy_retry_after};
    connection.exchange->answer(make_error_answer(error, id));
    return MHD_YES;
}

MHD_Result CallerServer::refuse(MHD_Connection* mhd_connection, ErrorAnswer const& error, Core::RequestId id)
{
    auto* response = make_response(make_error_answer(error, id), id);
    auto const result = MHD_queue_response(mhd_connection, static_cast<unsigned>(error.status), response);
    MHD_destroy_response(response);
    return result;
}

}
