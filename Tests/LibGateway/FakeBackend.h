#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace GraniteField::Testing {

/// A connection accepted by a fake backend server, for use by its script.
class FakeConnection {
public:
    explicit FakeConnection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~FakeConnection();
    FakeConnection(FakeConnection const&) = delete;
    FakeConnection& operator=(FakeConnection const&) = delete;

    /// Returns the next complete request, head and body, or nullopt if the connection ends first.
    [[nodiscard]] std::optional<std::string> read_request();
    /// Returns the head of the next request, or nullopt if the connection ends first.
    [[nodiscard]] std::optional<std::string> read_head();
    void write(std::string_view) const;
    /// Waits until the peer closes or resets the connection; returns whether it did so within the timeout.
    [[nodiscard]] bool wait_until_closed(Core::Milliseconds timeout = Core::Milliseconds(5'000)) const;
    /// Ends the sent data in order; the peer can still send.
    void finish_writing() const;
    /// Closes the connection with a reset.
    void reset();

private:
    int m_descriptor;
    std::string m_input;
};

/// A backend server whose responses a test scripts byte by byte. Records the requests that it receives.
class FakeBackend {
public:
    /// Handles one connection, where `index` counts accepted connections from 0. Runs on its own thread.
    using Script = std::function<void(FakeConnection&, std::string const& request, std::size_t index)>;

    /// What is read of a request before the script is called.
    enum class Reading {
        WholeRequest,
        /// Only the head. Small receive buffers keep a large body from being sent completely.
        HeadOnly,
    };

    explicit FakeBackend(std::string instance, Script script, Reading reading = Reading::WholeRequest);
    ~FakeBackend();
    FakeBackend(FakeBackend const&) = delete;
    FakeBackend& operator=(FakeBackend const&) = delete;

    [[nodiscard]] Entry::ServerEntry entry(std::string service = "svc") const;
    /// Returns the requests that were read, without their bodies if only heads are read.
    [[nodiscard]] std::vector<std::string> requests() const;
    [[nodiscard]] std::size_t count() const { return requests().size(); }

    /// Behaves like a crashed process: closes all connections at once and refuses new ones. May be called by scripts.
    void crash();
    /// Time of the last crash; nullopt while running.
    [[nodiscard]] std::optional<Core::MonotonicTime> crashed() const;
    /// Accepts connections at the same address again after a crash. Must not be called by scripts.
    void restart();

private:
    void start_accepting(std::uint16_t port);
    void accept_connections();
    /// Requires the lock. A finished thread does not take the lock any more.
    void join_finished_threads();

    std::string m_instance;
    Script m_script;
    Reading m_reading;
    std::uint16_t m_port {0};
    int m_listener {-1};
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::list<int> m_open;
    bool m_should_stop {false};
    std::optional<Core::MonotonicTime> m_crashed;
    std::list<std::thread> m_threads;
    std::vector<std::list<std::thread>::iterator> m_finished;
    std::thread m_acceptor;
};

/// A listening socket with a full backlog: further connects wait.
class FullListener {
public:
    FullListener();
    ~FullListener();
    FullListener(FullListener const&) = delete;
    FullListener& operator=(FullListener const&) = delete;

    [[nodiscard]] Entry::ServerEntry entry(std::string instance) const;

    /// Closes the connections that fill the backlog, so that others are established from now on.
    void make_room();
    /// Accepts the next connection and returns what it received before it ended, or nullopt if none is established in
    /// time.
    [[nodiscard]] std::optional<std::string> next_received(Core::Milliseconds timeout) const;

private:
    std::uint16_t m_port {0};
    int m_listener {-1};
    std::vector<int> m_fillers;
};

/// Returns the value of a header field, or nullopt if it is missing.
[[nodiscard]] std::optional<std::string> field_of(std::string_view request, std::string_view name);
[[nodiscard]] std::string body_of(std::string_view message);

/// Returns a complete response with the fields of a backend server.
[[nodiscard]] std::string answer_to(std::string const& request, int status, std::string const& body);
/// Returns the head of an answer whose body ends with the connection.
[[nodiscard]] std::string open_head_to(std::string const& request);
/// Return the head of a chunked event stream, one chunk, and one event.
[[nodiscard]] std::string stream_head_to(std::string const& request);
[[nodiscard]] std::string chunk(std::string const& text);
[[nodiscard]] std::string event(unsigned id);
/// More than any reader keeps of one event, or of a head.
inline constexpr std::size_t s_endless_bytes = 8U << 20U;
/// Writes the block until the peer closes the connection or has taken these bytes; returns how much it took.
[[nodiscard]] std::size_t write_without_end(
    FakeConnection&, std::string const& block, std::size_t limit = s_endless_bytes);

/// More than the socket buffers on the way to a server hold that reads only the head of a request.
inline constexpr std::size_t s_large_upload_bytes = 3'500'000;
/// Answers with the beginning of a body without a length, and resets the connection.
[[nodiscard]] FakeBackend::Script reset_behind_a_part();

/// Returns the response of a backend server that did not run the request.
[[nodiscard]] std::string refusal_to(std::string const& request, int status);

/// A caller that sends and receives raw bytes.
class RawCaller {
public:
    /// `receive_buffer` is the size of the kernel's receive buffer in bytes; 0 for the default.
    explicit RawCaller(std::uint16_t port, int receive_buffer = 0);
    ~RawCaller();
    RawCaller(RawCaller const&) = delete;
    RawCaller& operator=(RawCaller const&) = delete;

    void write(std::string_view) const;
    /// A response as delimited by its framing, or what was received before the connection ended.
    struct Answer {
        int status {0};
        std::string head;
        std::string body;
        /// Whether the end of the response was received as defined by HTTP.
        bool is_whole {false};
    };
    [[nodiscard]] Answer read_answer();
    /// Waits until the body has at least this many bytes; false if the connection ends first.
    [[nodiscard]] bool read_body_bytes(std::size_t count);
    /// Waits for the first bytes and returns whether they equal the text; false if the connection ends first.
    [[nodiscard]] bool has_received(std::string_view);
    /// Reads to the end of the connection; returns whether the peer ended it in order, rather than with a reset.
    [[nodiscard]] bool ends_in_order() const;
    /// Waits until the peer closes the connection; false at the timeout.
    [[nodiscard]] bool is_closed_by_peer();
    void close();

private:
    [[nodiscard]] bool read_more();

    int m_descriptor;
    std::string m_input;
};

}
