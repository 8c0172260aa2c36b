#pragma once

#include <LibCore/Time.h>
#include <LibGateway/BackendView.h>
#include <LibHTTP/AnswerParser.h>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace GraniteField::Gateway {

/// One try to run a request at one backend server, over a connection of its own: what is sent can't be answered by
/// bytes that belong to another request, and nothing is ever sent again below this level. On the gateway's thread.
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
public:
    /// How an attempt ended without a whole answer.
    enum class Failure {
        /// Nothing was sent: the connection did not come up.
        NotSent,
        /// It was sent, and the connection ended or brought what is no answer. It may have run.
        Broken,
    };

    /// Follows an attempt. Calls come from the event loop, never from within begin().
    class Listener {
    public:
        virtual ~Listener() = default;
        /// The answer's head has come; once, before handle_response().
        virtual void handle_response_head(BackendAttempt&) = 0;
        /// The answer's head, or more of its body, has come.
        virtual void handle_response(BackendAttempt&) = 0;
        virtual void handle_failure(BackendAttempt&, Failure, std::string const& reason) = 0;
    };

    /// What is read at once, at most.
    static constexpr std::size_t s_read_size = 64U << 10U;

    BackendAttempt(boost::asio::io_context&, std::shared_ptr<BackendView>, HTTP::BodyRule, Listener&);
    ~BackendAttempt();
    BackendAttempt(BackendAttempt const&) = delete;
    BackendAttempt& operator=(BackendAttempt const&) = delete;

    /// Connects, and sends the request when the connection is up.
    void start(std::string request, Core::MonotonicTime now);
    /// Closes the connection; the listener hears nothing more.
    void cancel();

    [[nodiscard]] BackendView& server() { return *m_server; }
    [[nodiscard]] HTTP::AnswerParser& parser() { return m_parser; }
    [[nodiscard]] ServerLoad& load() { return m_load; }
    /// Whether any byte of the request has left; from then on it may have run.
    [[nodiscard]] bool is_sent() const { return m_written > 0; }
    [[nodiscard]] Core::MonotonicTime started_at() const { return m_started_at; }
    /// When something last came from the server; the beginning before that.
    [[nodiscard]] Core::MonotonicTime last_received_at() const { return m_last_received_at; }
    /// When the answer's head came; nothing before.
    [[nodiscard]] std::optional<Core::MonotonicTime> head_received_at() const { return m_head_received_at; }
    /// This process was away: the server's silence is counted from now on.
    void restart_silence_timer(Core::MonotonicTime now) { m_last_received_at = now; }
    [[nodiscard]] bool is_over() const { return m_is_over; }

    /// Reads no more than this at once from now on.
    void set_read_size(std::size_t bytes) { m_read_size = bytes; }
    /// Reads nothing more until resume(); for a caller that does not keep up.
    void pause() { m_is_paused = true; }
    void resume();
    [[nodiscard]] bool is_paused() const { return m_is_paused; }

private:
    using Error = boost::system::error_code;

    void handle_connected(Error const&);
    void write();
    void read();
    void receive();
    void fail(Failure, std::string const& reason);

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<BackendView> m_server;
    HTTP::AnswerParser m_parser;
    Listener* m_listener;
    std::string m_request;
    std::size_t m_written {0};
    std::string m_input;
    ServerLoad m_load;
    Core::MonotonicTime m_started_at;
    Core::MonotonicTime m_last_received_at;
    std::optional<Core::MonotonicTime> m_head_received_at;
    bool m_is_over {false};
    bool m_is_paused {false};
    std::size_t m_read_size {s_read_size};
    bool m_is_reading {false};
};

}
