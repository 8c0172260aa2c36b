#include <LibGateway/BackendAttempt.h>

#include <algorithm>
#include <array>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>

namespace GraniteField::Gateway {

namespace {

/// Timeout for the acknowledgement of sent bytes, which detects a host without power.
constexpr Core::Milliseconds s_unacknowledged_timeout {3'000};
/// Keep-alive probes, which detect a host without power while nothing is being sent: the first after this many seconds
/// of silence, then one per second, and the connection ends after two unanswered probes.
constexpr int s_seconds_to_first_probe = 1;
constexpr int s_seconds_between_probes = 1;
constexpr int s_max_lost_probes = 2;

template <int name>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, name>;

void enable_dead_host_detection(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(s_unacknowledged_timeout.count())), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(s_seconds_to_first_probe), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(s_seconds_between_probes), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(s_max_lost_probes), ignored);
}

}

BackendAttempt::BackendAttempt(
    boost::asio::io_context& loop, std::shared_ptr<BackendView> server, HTTP::BodyRule rule, Listener& listener)
    : m_loop(loop)
    , m_socket(loop)
    , m_server(std::move(server))
    , m_parser(rule)
    , m_listener(&listener)
{
}

BackendAttempt::~BackendAttempt()
{
    m_server->end_attempt(m_load);
}

void BackendAttempt::start(Core::MonotonicTime now)
{
    m_started_at = now;
    m_last_received_at = now;
    auto const& address = m_server->record().address;
    boost::asio::ip::tcp::endpoint const endpoint(boost::asio::ip::make_address(address.host()), address.port());
    Error error;
    m_socket.open(endpoint.protocol(), error);
    m_socket.non_blocking(true, error);
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    enable_dead_host_detection(m_socket);
    m_socket.async_connect(endpoint, [self = shared_from_this()](Error connect_error) {
        if (!self->m_is_over)
            self->handle_connected(connect_error);
    });
}

void BackendAttempt::cancel()
{
    m_is_over = true;
    m_server->end_attempt(m_load);
    Error ignored;
    m_socket.close(ignored);
}

void BackendAttempt::resume()
{
    m_is_paused = false;
    read();
}

void BackendAttempt::fail(Failure failure, std::string const& reason)
{
    if (m_is_over)
        return;
    // Keeps this attempt alive, since the listener may release its last reference.
    auto const self = shared_from_this();
    cancel();
    m_listener->handle_failure(*this, failure, reason);
}

void BackendAttempt::handle_connected(Error const& error)
{
    if (error)
        return fail(Failure::NotSent, error.message());
    auto request = m_listener->handle_connected(*this);
    if (!request)
        return;
    m_request = std::move(*request);
    write();
    if (!m_is_over)
        read();
}

void BackendAttempt::write()
{
    Error error;
    std::string_view const head = m_request.head;
    auto const body = m_request.body.text();
    while (m_written < head.size() + body.size()) {
        auto const head_rest = head.substr(std::min(m_written, head.size()));
        auto const body_rest = body.substr(m_written - std::min(m_written, head.size()));
        std::array const rest {boost::asio::buffer(head_rest.data(), head_rest.size()),
            boost::asio::buffer(body_rest.data(), body_rest.size())};
        m_written += m_socket.write_some(rest, error);
        if (error == boost::asio::error::would_block) {
            m_socket.async_wait(
                boost::asio::ip::tcp::socket::wait_write, [self = shared_from_this()](Error wait_error) {
                    if (!wait_error && !self->m_is_over)
                        self->write();
                });
            return;
        }
        if (error && m_written == 0)
            return fail(Failure::NotSent, error.message());
        // A server may respond and close before it has read the whole request, so reading goes on.
        if (error) {
            m_write_error = error;
            break;
        }
    }
    m_request = {};
    m_written = std::max<std::size_t>(m_written, 1);
    m_listener->handle_sent(*this);
}

void BackendAttempt::read()
{
    if (m_is_over || m_is_reading || m_is_paused)
        return;
    m_is_reading = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](Error error) {
        self->m_is_reading = false;
        if (!error && !self->m_is_over)
            self->receive();
    });
}

void BackendAttempt::confirm_end()
{
    auto const on_result = [self = shared_from_this()](ServerProbe::Result result) {
        if (!self->m_is_over)
            self->handle_end_probe(result);
    };
    ServerProbe::start(m_loop, m_server->record().address, on_result);
}

void BackendAttempt::handle_end_probe(ServerProbe::Result result)
{
    if (result != ServerProbe::Result::Accepted)
        return fail(Failure::Broken, "the connection was closed and the server does not accept another one");
    m_parser.add_end();
    m_listener->handle_response(*this);
}

BackendAttempt::Error BackendAttempt::end_error(Error const& read_error) const
{
    bool const is_masked = read_error == boost::asio::error::eof && m_write_error;
    // A write fails with broken_pipe only if the server had ended its side in order.
    if (!is_masked || m_write_error == boost::asio::error::broken_pipe)
        return read_error;
    return m_write_error;
}

void BackendAttempt::receive()
{
    static thread_local std::array<char, s_read_size> s_buffer;
    Error error;
    auto const count
        = m_socket.read_some(boost::asio::buffer(s_buffer.data(), std::min(m_read_size, s_buffer.size())), error);
    if (error == boost::asio::error::would_block)
        return read();
    auto const self = shared_from_this();
    error = end_error(error);
    if (error == boost::asio::error::eof) {
        if (m_parser.has_head() && m_parser.framing() == HTTP::Framing::ConnectionClose)
            return confirm_end();
        return fail(Failure::Broken, "the connection was closed before the response was complete");
    }
    if (error)
        return fail(Failure::Broken, error.message());
    m_last_received_at = Core::monotonic_now();
    m_server->note_received(m_last_received_at);
    m_input.append(s_buffer.data(), count);
    m_input.erase(0, m_parser.add(m_input));
    if (m_parser.is_broken() || m_input.size() > s_max_unparsed_bytes)
        return fail(Failure::Broken, "the received bytes are not a valid HTTP response");
    if (m_parser.has_head() && !m_head_received_at) {
        m_head_received_at = m_last_received_at;
        m_listener->handle_response_head(*this);
    }
    if (m_parser.has_head())
        m_listener->handle_response(*this);
    if (!m_is_over)
        read();
}

}
