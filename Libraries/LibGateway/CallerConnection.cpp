#include <LibGateway/CallerConnection.h>

#include <LibCore/Text.h>

#include <algorithm>
#include <array>

#include <absl/strings/str_format.h>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace GraniteField::Gateway {

namespace {

/// Number of buffered bytes after the current request above which reading pauses until the request is answered.
constexpr std::size_t s_max_buffered_input = 64U << 10U;
constexpr std::size_t s_read_size = 64U << 10U;
/// Capacity for input that a connection keeps between requests.
constexpr std::size_t s_max_idle_input = 4U << 10U;
/// Number of written bytes from which they are released. Releasing moves the rest of the buffer, so it is done in large
/// steps; without it, the whole response of a caller that never catches up would accumulate.
constexpr std::size_t s_min_dropped_bytes = 64U << 10U;
/// Time without a received byte that a closing connection waits for the caller to close its side, so that a reset does
/// not discard written data.
constexpr Core::Milliseconds s_closing_timeout {1'000};

std::string_view reason_phrase(int status)
{
    auto const text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {text.data(), text.size()};
}

/// Whether a response with this status never has a body (RFC 9110, section 6.4.1).
bool has_no_body(int status)
{
    return status == 204 || status == 304;
}

}

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket, Handler& handler)
    : m_socket(std::move(socket))
    , m_handler(handler)
    , m_buffer_charge(handler.memory(), MemoryUse::CallerBuffers)
    , m_last_activity(Core::monotonic_now())
{
}

CallerConnection::~CallerConnection()
{
    // Boost.Asio's sockets turn a reset into an orderly close if they are destroyed open.
    close();
}

void CallerConnection::start()
{
    Error ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    read();
}

void CallerConnection::read()
{
    if (m_is_closed || m_is_reading || m_input.size() >= s_max_buffered_input)
        return;
    m_is_reading = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](Error error) {
        self->m_is_reading = false;
        if (error || self->m_is_closed)
            return;
        self->receive();
    });
}

void CallerConnection::receive()
{
    static thread_local std::array<char, s_read_size> s_buffer;
    Error error;
    auto const count = m_socket.read_some(boost::asio::buffer(s_buffer), error);
    if (error == boost::asio::error::would_block)
        return read();
    if (error || count == 0) {
        // A caller that has closed its sending side counts as disconnected, even if it could still read.
        if (m_state == State::Responding && m_on_disconnect) {
            auto const on_disconnect = std::exchange(m_on_disconnect, nullptr);
            on_disconnect();
        }
        if (m_state != State::Finishing || error != boost::asio::error::eof)
            close();
        return;
    }
    m_last_activity = Core::monotonic_now();
    if (m_state == State::Closing)
        return read();
    if (!m_has_request_started && m_state == State::Reading) {
        m_has_request_started = true;
        m_request_started_at = m_last_activity;
    }
    m_input.append(s_buffer.data(), count);
    process_input();
    m_buffer_charge.set(held_bytes());
    read();
}

void CallerConnection::process_input()
{
    if (m_state != State::Reading || m_is_closed)
        return;
    if (!m_parser)
        m_parser.emplace(m_handler.limits().request);
    m_input.erase(0, m_parser->add(m_input));
    if (m_parser->problem() != HTTP::RequestProblem::None)
        return refuse(m_parser->problem());
    if (!m_parser->has_head() || !reserve_body())
        return;
    if (!m_parser->is_complete())
        return send_continue();
    hand_over_request();
}

void CallerConnection::hand_over_request()
{
    auto head = std::move(m_parser->head());
    RequestBody body(std::move(m_parser->body()), std::move(*m_body_charge));
    m_parser.reset();
    m_body_charge.reset();
    if (m_input.empty() && m_input.capacity() > s_max_idle_input)
        m_input.shrink_to_fit();
    m_has_checked_expect = false;
    m_state = State::Responding;
    auto const received = m_request_started_at;
    m_has_request_started = false;
    m_handler.handle_request(shared_from_this(), std::move(head), std::move(body), received);
}

bool CallerConnection::reserve_body()
{
    auto const& head = m_parser->head();
    if (!m_body_charge) {
        m_is_head_request = head.method == "HEAD";
        m_caller_keeps_open = head.keeps_connection();
        m_minor_version = head.minor_version;
        m_body_charge.emplace(m_handler.memory(), MemoryUse::RequestBodies);
    }
    auto const bytes = m_parser->body().capacity();
    if (bytes > m_body_charge->bytes() && !m_handler.admit_body(*this, head, bytes - m_body_charge->bytes())) {
        m_parser.reset();
        m_body_charge.reset();
        return false;
    }
    m_body_charge->set(bytes);
    return true;
}

void CallerConnection::send_continue()
{
    if (m_has_checked_expect)
        return;
    m_has_checked_expect = true;
    if (!HTTP::has_token(m_parser->head().fields.value_or("Expect", ""), "100-continue"))
        return;
    m_output += "HTTP/1.1 100 Continue\r\n\r\n";
    write();
}

void CallerConnection::refuse(HTTP::RequestProblem problem)
{
    m_handler.note_bad_request(problem);
    m_state = State::Responding;
    close_after_response();
    m_input.clear();
    send_response(HTTP::status_of(problem), {}, "");
}

bool CallerConnection::keeps_connection_open() const
{
    return m_caller_keeps_open && !m_handler.is_draining();
}

void CallerConnection::append_head(int status, HTTP::FieldList const& fields)
{
    // The caller must learn that the connection closes before it sends its next request.
    m_caller_keeps_open = keeps_connection_open();
    Core::append(&m_output, "HTTP/1.1 ", status, " ", reason_phrase(status), "\r\n");
    for (auto const& field : fields.all())
        Core::append(&m_output, field.name, ": ", field.value, "\r\n");
    if (!m_caller_keeps_open)
        m_output += "Connection: close\r\n";
    else if (m_minor_version == 0)
        m_output += "Connection: keep-alive\r\n";
}

void CallerConnection::send_response(int status, HTTP::FieldList const& fields, std::string_view body)
{
    if (m_is_closed)
        return;
    m_on_disconnect = nullptr;
    append_head(status, fields);
    if (!has_no_body(status))
        Core::append(&m_output, "Content-Length: ", body.size(), "\r\n");
    m_output += "\r\n";
    if (!m_is_head_request && !has_no_body(status))
        m_output += body;
    m_state = State::Finishing;
    write();
}

void CallerConnection::start_response(int status, HTTP::FieldList const& fields)
{
    if (m_is_closed)
        return;
    m_is_chunked = m_minor_version > 0;
    if (!m_is_chunked) {
        m_caller_keeps_open = false;
        // Only the close ends this response, so an early exit of this process must not close the socket in order.
        set_close_mode(CloseMode::Reset);
    }
    append_head(status, fields);
    if (m_is_chunked)
        m_output += "Transfer-Encoding: chunked\r\n";
    m_output += "\r\n";
    write();
}

void CallerConnection::append(std::string_view text)
{
    if (m_is_closed || text.empty())
        return;
    if (m_is_chunked)
        absl::StrAppendFormat(&m_output, "%x\r\n", text.size());
    m_output += text;
    if (m_is_chunked)
        m_output += "\r\n";
    write();
}

void CallerConnection::finish_response()
{
    if (m_is_closed)
        return;
    m_on_disconnect = nullptr;
    if (m_is_chunked)
        m_output += "0\r\n\r\n";
    m_state = State::Finishing;
    write();
}

void CallerConnection::set_close_mode(CloseMode mode)
{
    Error ignored;
    m_socket.set_option(boost::asio::socket_base::linger(mode == CloseMode::Reset, 0), ignored);
}

void CallerConnection::abort_response()
{
    if (m_is_closed)
        return;
    m_on_disconnect = nullptr;
    if (!m_is_chunked)
        set_close_mode(CloseMode::Reset);
    close();
}

void CallerConnection::write()
{
    if (m_is_closed)
        return;
    if (!m_is_waiting_to_write)
        write_output();
    m_buffer_charge.set(held_bytes());
}

void CallerConnection::write_output()
{
    Error error;
    while (m_written < m_output.size()) {
        auto const rest = boost::asio::buffer(m_output.data() + m_written, m_output.size() - m_written);
        auto const written = m_socket.write_some(rest, error);
        m_written += written;
        if (written > 0)
            m_last_write = Core::monotonic_now();
        if (error == boost::asio::error::would_block) {
            drop_written();
            return wait_to_write();
        }
        if (error) {
            if (m_on_disconnect)
                std::exchange(m_on_disconnect, nullptr)();
            return close();
        }
    }
    m_output.clear();
    m_written = 0;
    if (m_output.capacity() > s_min_dropped_bytes)
        m_output.shrink_to_fit();
    if (m_state == State::Finishing)
        handle_response_written();
}

void CallerConnection::drop_written()
{
    if (m_written < s_min_dropped_bytes)
        return;
    m_output.erase(0, m_written);
    m_written = 0;
}

void CallerConnection::wait_to_write()
{
    m_is_waiting_to_write = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_write, [self = shared_from_this()](Error error) {
        self->m_is_waiting_to_write = false;
        if (!error)
            self->write();
    });
}

void CallerConnection::handle_response_written()
{
    m_is_chunked = false;
    m_last_activity = Core::monotonic_now();
    if (!m_caller_keeps_open)
        return start_closing();
    m_state = State::Reading;
    if (m_input.empty())
        return read();
    m_has_request_started = true;
    m_request_started_at = m_last_activity;
    // Posted to the event loop, so that many pipelined requests in one packet do not deepen the stack.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->process_input();
        self->read();
    });
}

void CallerConnection::start_closing()
{
    m_state = State::Closing;
    m_closing_since = Core::monotonic_now();
    m_parser.reset();
    m_body_charge.reset();
    set_close_mode(CloseMode::Orderly);
    Error ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_input = {};
    read();
}

void CallerConnection::close()
{
    if (m_is_closed)
        return;
    m_is_closed = true;
    Error ignored;
    m_socket.close(ignored);
}

void CallerConnection::close_if_idle()
{
    if (!is_busy())
        start_closing();
}

void CallerConnection::tick(Core::MonotonicTime now)
{
    if (m_is_closed)
        return;
    auto const& limits = m_handler.limits();
    switch (m_state) {
    case State::Closing:
        if (Core::elapsed(m_last_activity, now) > s_closing_timeout
            || Core::elapsed(m_closing_since, now) > limits.idle_timeout)
            close();
        return;
    case State::Finishing:
        // The request is over, so no other timeout ends this connection.
        if (Core::elapsed(std::max(m_last_activity, m_last_write), now) > limits.idle_timeout)
            abort_response();
        return;
    case State::Responding:
        return;
    case State::Reading:
        break;
    }
    bool const is_reading_head = m_has_request_started && (!m_parser || !m_parser->has_head());
    if (is_reading_head && Core::elapsed(m_request_started_at, now) > limits.head_timeout) {
        m_state = State::Responding;
        m_caller_keeps_open = false;
        return send_response(408, {}, "");
    }
    if (Core::elapsed(m_last_activity, now) > limits.idle_timeout) {
        if (!m_has_request_started)
            return start_closing();
        m_state = State::Responding;
        m_caller_keeps_open = false;
        send_response(408, {}, "");
    }
}

}
