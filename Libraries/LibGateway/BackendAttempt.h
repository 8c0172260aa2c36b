#pragma once

#include <LibCore/Time.h>
#include <LibGateway/BackendView.h>
#include <LibGateway/RequestBody.h>
#include <LibGateway/ServerProbe.h>
#include <LibHTTP/AnswerParser.h>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace GraniteField::Gateway {

/// One attempt to run a request at one backend server, over its own connection. Bytes of another request's response
/// can't be mistaken for this one's, and nothing is resent below this level. Used on the gateway's thread only.
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
public:
    /// Reason why an attempt ended without a complete response.
    enum class Failure {
        /// The connection was not established; nothing was sent.
        NotSent,
        /// The connection ended or carried an invalid response after sending. The request may have run.
        Broken,
    };

    /// A request as it is written to the server.
    struct OutgoingRequest {
        std::string head;
        RequestBody body;
    };

    /// Receives the events of an attempt, always from the event loop and never from within start().
    class Listener {
    public:
        virtual ~Listener() = default;
        /// Called once when the connection is established. Returns the request to send, or nullopt if the attempt was
        /// cancelled. The request states the time that remains, so it is written only now.
        [[nodiscard]] virtual std::optional<OutgoingRequest> handle_connected(BackendAttempt&) = 0;
        /// Called once when the request was written, or cannot be written further.
        virtual void handle_sent(BackendAttempt&) = 0;
        /// Called once when the head of the response has arrived, before handle_response().
        virtual void handle_response_head(BackendAttempt&) = 0;
        /// Called when the head of the response or more of its body has arrived.
        virtual void handle_response(BackendAttempt&) = 0;
        virtual void handle_failure(BackendAttempt&, Failure, std::string const& reason) = 0;
    };

    /// Maximum number of bytes per read.
    static constexpr std::size_t s_read_size = 64U << 10U;
    /// Limit of the received bytes that the parser cannot read yet, such as an incomplete chunk header.
    static constexpr std::size_t s_max_unparsed_bytes = 128U << 10U;

    BackendAttempt(boost::asio::io_context&, std::shared_ptr<BackendView>, HTTP::BodyRule, Listener&);
    ~BackendAttempt();
    BackendAttempt(BackendAttempt const&) = delete;
    BackendAttempt& operator=(BackendAttempt const&) = delete;

    /// Connects, and sends the request of the listener once connected.
    void start(Core::MonotonicTime now);
    /// Closes the connection; the listener is not called any more.
    void cancel();

    [[nodiscard]] BackendView& server() { return *m_server; }
    [[nodiscard]] HTTP::AnswerParser& parser() { return m_parser; }
    [[nodiscard]] ServerLoad& load() { return m_load; }
    /// Whether any byte of the request was sent, so that it may have run.
    [[nodiscard]] bool is_sent() const { return m_written > 0; }
    [[nodiscard]] Core::MonotonicTime started_at() const { return m_started_at; }
    /// Time of the last byte from the server, or the start of the attempt.
    [[nodiscard]] Core::MonotonicTime last_received_at() const { return m_last_received_at; }
    /// Time at which the head of the response arrived; nullopt before.
    [[nodiscard]] std::optional<Core::MonotonicTime> head_received_at() const { return m_head_received_at; }
    /// Time at which the first event of the stream arrived in this attempt; nullopt before.
    [[nodiscard]] std::optional<Core::MonotonicTime> first_event_at() const { return m_first_event_at; }
    void set_first_event_at(Core::MonotonicTime time) { m_first_event_at = time; }
    /// Measures the server's silence from now on, after a stall of this process.
    void restart_silence_timer(Core::MonotonicTime now) { m_last_received_at = now; }
    [[nodiscard]] bool is_over() const { return m_is_over; }

    /// Limits the number of bytes per read from now on.
    void set_read_size(std::size_t bytes) { m_read_size = bytes; }
    /// Stops reading until resume(), for a caller that does not keep up.
    void pause() { m_is_paused = true; }
    void resume();
    [[nodiscard]] bool is_paused() const { return m_is_paused; }

private:
    using Error = boost::system::error_code;

    void handle_connected(Error const&);
    void write();
    void read();
    void receive();
    /// Returns the error that ended the connection. A failed write takes the pending error, such as a reset, from the
    /// socket, and the next read then reports an orderly end.
    [[nodiscard]] Error end_error(Error const& read_error) const;
    /// Confirms a response that only the end of the connection delimits: a crash ends the connection in the same way,
    /// so the response is complete only if the server accepts another connection.
    void confirm_end();
    void handle_end_probe(ServerProbe::Result);
    void fail(Failure, std::string const& reason);

    boost::asio::io_context& m_loop;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<BackendView> m_server;
    HTTP::AnswerParser m_parser;
    Listener* m_listener;
    OutgoingRequest m_request;
    std::size_t m_written {0};
    /// Error of the write that ended the sending of the request early.
    Error m_write_error;
    std::string m_input;
    ServerLoad m_load;
    Core::MonotonicTime m_started_at;
    Core::MonotonicTime m_last_received_at;
    std::optional<Core::MonotonicTime> m_head_received_at;
    std::optional<Core::MonotonicTime> m_first_event_at;
    bool m_is_over {false};
    bool m_is_paused {false};
    std::size_t m_read_size {s_read_size};
    bool m_is_reading {false};
};

}
