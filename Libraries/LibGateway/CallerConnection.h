#pragma once

#include <LibCore/Time.h>
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

/// One connection from a caller: reads requests one after the other, hands each on, and writes its answer. All on the
/// gateway's thread. The next request is read only when the answer to the one before it is written.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /// How long callers may take and how much they may send.
    struct Limits {
        HTTP::RequestParser::Limits request;
        /// From the first byte of a request to the end of its head.
        Core::Milliseconds head_timeout {3'000};
        /// Without a byte, between requests or within a body, or while an answer's end waits for the caller to read.
        Core::Milliseconds idle_timeout {15'000};
    };

    /// Takes whole requests.
    class Handler {
    public:
        virtual ~Handler() = default;
        virtual void handle_request(
            std::shared_ptr<CallerConnection>, HTTP::RequestHead, std::string body, Core::MonotonicTime received)
            = 0;
        /// The limits in force now.
        [[nodiscard]] virtual Limits const& limits() const = 0;
        /// Whether answers tell callers to close the connection.
        [[nodiscard]] virtual bool is_draining() const = 0;
        /// A request that was refused before it was whole.
        virtual void note_bad_request(HTTP::RequestProblem) = 0;
    };

    CallerConnection(boost::asio::ip::tcp::socket, Handler&);

    /// Begins to read.
    void start();
    /// Looks at the limits in time.
    void tick(Core::MonotonicTime now);
    [[nodiscard]] bool is_closed() const { return m_is_closed; }
    /// Whether a request is read or answered.
    [[nodiscard]] bool is_busy() const
    {
        return m_state != State::Reading || !m_input.empty() || m_has_request_started;
    }
    /// Closes a connection that waits for its next request.
    void close_if_idle();

    // For whoever answers the request.

    /// Called when the caller has closed the connection before its answer was whole.
    void set_on_disconnect(std::function<void()> callback) { m_on_disconnect = std::move(callback); }
    /// Gives the whole answer.
    void send_response(int status, HTTP::FieldList const& fields, std::string_view body);
    /// Begins an answer of which more follows.
    void start_response(int status, HTTP::FieldList const& fields);
    void append(std::string_view);
    /// The answer is whole.
    void finish_response();
    /// The answer ends here though it is not whole: the connection is closed without the mark of its end.
    void abort_response();
    /// Bytes that the caller has not taken yet.
    [[nodiscard]] std::size_t pending_bytes() const { return m_output.size() - m_written; }
    /// Memory that the connection takes for what has come and what is to go.
    [[nodiscard]] std::size_t held_bytes() const { return m_input.capacity() + m_output.capacity(); }

private:
    enum class State {
        Reading,
        Responding,
        /// The answer is whole and is being written.
        Finishing,
        /// All is written; the caller closes, or time passes.
        Closing,
    };

    using Error = boost::system::error_code;

    void read();
    void receive();
    void process_input();
    /// Lets a caller that asked first send its body (RFC 9110, section 10.1.1).
    void send_continue();
    void refuse(HTTP::RequestProblem);
    void write();
    void wait_to_write();
    void handle_response_written();
    /// Gives up what the caller has taken.
    void drop_written();
    void append_head(int status, HTTP::FieldList const&);
    void start_closing();
    void close();
    [[nodiscard]] bool keeps_connection_open() const;

    boost::asio::ip::tcp::socket m_socket;
    Handler& m_handler;
    State m_state {State::Reading};
    bool m_is_closed {false};
    bool m_is_reading {false};
    bool m_is_waiting_to_write {false};

    std::string m_input;
    std::optional<HTTP::RequestParser> m_parser;
    /// A request has begun to come.
    bool m_has_request_started {false};
    bool m_has_sent_continue {false};
    Core::MonotonicTime m_request_started_at;
    Core::MonotonicTime m_last_activity;

    bool m_is_head_request {false};
    bool m_caller_keeps_open {true};
    bool m_is_chunked {false};
    int m_minor_version {1};
    std::string m_output;
    std::size_t m_written {0};
    /// When the caller last took something.
    Core::MonotonicTime m_last_write;
    std::function<void()> m_on_disconnect;
};

}
