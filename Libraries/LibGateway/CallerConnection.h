#pragma once

#include <LibCore/Time.h>
#include <LibGateway/RequestBody.h>
#include <LibHTTP/RequestParser.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace GraniteField::Gateway {

/// A caller's connection: reads requests one after the other, passes each to the handler and writes its response. The
/// next request is processed only after the response to the previous one is written. Used on the gateway's thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /// Timeouts and size limits for callers.
    struct Limits {
        HTTP::RequestParser::Limits request;
        /// From the first byte of a request to the end of its head.
        Core::Milliseconds head_timeout {3'000};
        /// Without a received byte between requests or within a body, or without a written byte at the end of a
        /// response.
        Core::Milliseconds idle_timeout {15'000};
    };

    /// Handles complete requests.
    class Handler {
    public:
        virtual ~Handler() = default;
        virtual void handle_request(
            std::shared_ptr<CallerConnection>, HTTP::RequestHead, RequestBody, Core::MonotonicTime received)
            = 0;
        /// Whether there is memory for this many more bytes of a request's body. If not, the handler has answered the
        /// request, whose body is not read.
        [[nodiscard]] virtual bool admit_body(CallerConnection&, HTTP::RequestHead const&, std::size_t bytes) = 0;
        /// Account of the memory that connections hold.
        [[nodiscard]] virtual MemoryAccount& memory() = 0;
        /// Returns the limits in force.
        [[nodiscard]] virtual Limits const& limits() const = 0;
        /// Whether responses ask callers to close the connection.
        [[nodiscard]] virtual bool is_draining() const = 0;
        /// Called for a request that was rejected before it was complete.
        virtual void note_bad_request(HTTP::RequestProblem) = 0;
    };

    CallerConnection(boost::asio::ip::tcp::socket, Handler&);
    /// Closes the connection.
    ~CallerConnection();
    CallerConnection(CallerConnection const&) = delete;
    CallerConnection& operator=(CallerConnection const&) = delete;

    /// Starts to read requests.
    void start();
    /// Enforces the timeouts.
    void tick(Core::MonotonicTime now);
    [[nodiscard]] bool is_closed() const { return m_is_closed; }
    /// Whether a request is being read or answered.
    [[nodiscard]] bool is_busy() const
    {
        return m_state != State::Reading || !m_input.empty() || m_has_request_started;
    }
    /// Closes the connection if it waits for its next request.
    void close_if_idle();

    // Functions for the code that answers the request.

    /// Sets a callback for the case that the caller disconnects before its response is complete.
    void set_on_disconnect(std::function<void()> callback) { m_on_disconnect = std::move(callback); }
    /// Closes the connection after the response.
    void close_after_response() { m_caller_keeps_open = false; }
    /// Sends a complete response.
    void send_response(int status, HTTP::FieldList const& fields, std::string_view body);
    /// Starts a response whose body follows in append().
    void start_response(int status, HTTP::FieldList const& fields);
    void append(std::string_view);
    /// Completes a response that was started with start_response().
    void finish_response();
    /// Closes the connection without the end marker of the response, so that the caller sees it is incomplete.
    void abort_response();
    /// Number of response bytes not yet passed to the kernel.
    [[nodiscard]] std::size_t pending_bytes() const { return m_output.size() - m_written; }
    /// Number of bytes allocated for input and output.
    [[nodiscard]] std::size_t held_bytes() const { return m_input.capacity() + m_output.capacity(); }

private:
    enum class State {
        Reading,
        Responding,
        /// The response is complete and being written.
        Finishing,
        /// Everything is written; waits for the caller to close, or for a timeout.
        Closing,
    };

    /// What the caller sees when the socket is closed, by this process or with its end.
    enum class CloseMode {
        Orderly,
        /// Discards what has not been sent. For responses that are delimited by the end of the connection only.
        Reset,
    };

    using Error = boost::system::error_code;

    void read();
    void receive();
    void process_input();
    /// Passes a complete request to the handler.
    void hand_over_request();
    /// Reserves memory for the body of the request. Returns whether the request may be read on.
    [[nodiscard]] bool reserve_body();
    /// Sends "100 Continue" to a caller that expects it (RFC 9110, section 10.1.1).
    void send_continue();
    void refuse(HTTP::RequestProblem);
    void write();
    void write_output();
    void wait_to_write();
    void handle_response_written();
    /// Releases the output that was written.
    void drop_written();
    void append_head(int status, HTTP::FieldList const&);
    void set_close_mode(CloseMode);
    void start_closing();
    void close();
    [[nodiscard]] bool keeps_connection_open() const;

    boost::asio::ip::tcp::socket m_socket;
    Handler& m_handler;
    State m_state {State::Reading};
    bool m_is_closed {false};
    bool m_is_reading {false};
    bool m_is_waiting_to_write {false};

    MemoryCharge m_buffer_charge;
    std::string m_input;
    std::optional<HTTP::RequestParser> m_parser;
    /// Memory reserved for the body of the current request; nullopt before its head has arrived.
    std::optional<MemoryCharge> m_body_charge;
    /// Whether a byte of the current request has arrived.
    bool m_has_request_started {false};
    bool m_has_checked_expect {false};
    Core::MonotonicTime m_request_started_at;
    Core::MonotonicTime m_last_activity;

    bool m_is_head_request {false};
    bool m_caller_keeps_open {true};
    bool m_is_chunked {false};
    int m_minor_version {1};
    std::string m_output;
    std::size_t m_written {0};
    /// Time of the last successful write.
    Core::MonotonicTime m_last_write;
    Core::MonotonicTime m_closing_since;
    std::function<void()> m_on_disconnect;
};

}
