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

/// One connection that a fake backend server has accepted, for the script that plays it.
class FakeConnection {
public:
    explicit FakeConnection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~FakeConnection();
    FakeConnection(FakeConnection const&) = delete;
    FakeConnection& operator=(FakeConnection const&) = delete;

    /// The whole next request, head and body; nothing when the connection ends first.
    [[nodiscard]] std::optional<std::string> read_request();
    void write(std::string_view) const;
    /// Waits until the other side closes or resets; true when it did within the limit.
    [[nodiscard]] bool wait_until_closed(Core::Milliseconds limit = Core::Milliseconds(5'000)) const;
    /// Closes so that the other side sees a reset.
    void reset();

private:
    int m_descriptor;
    std::string m_input;
};

/// A backend server that a test scripts byte by byte. It counts what reaches it.
class FakeBackend {
public:
    /// Plays one connection, which was accepted as the number `index`, from 0. Runs on a thread of its own.
    using Script = std::function<void(FakeConnection&, std::string const& request, std::size_t index)>;

    explicit FakeBackend(std::string instance, Script script);
    ~FakeBackend();
    FakeBackend(FakeBackend const&) = delete;
    FakeBackend& operator=(FakeBackend const&) = delete;

    [[nodiscard]] Entry::ServerEntry entry(std::string service = "svc") const;
    /// Requests that have arrived whole.
    [[nodiscard]] std::vector<std::string> requests() const;
    [[nodiscard]] std::size_t count() const { return requests().size(); }

    /// Ends as a process that crashes: all connections are closed at once, and new ones are refused. For scripts.
    void crash();
    /// When it crashed last; nothing while it runs.
    [[nodiscard]] std::optional<Core::MonotonicTime> crashed() const;
    /// Comes back at its address after a crash. Not for scripts.
    void restart();

private:
    void start_accepting(std::uint16_t port);
    void accept_connections();
    /// Called with the lock held; a thread that is finished does not take it any more.
    void join_finished_threads();

    std::string m_instance;
    Script m_script;
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

/// A listening socket whose queue of new connections is full: what connects to it waits.
class FullListener {
public:
    FullListener();
    ~FullListener();
    FullListener(FullListener const&) = delete;
    FullListener& operator=(FullListener const&) = delete;

    [[nodiscard]] Entry::ServerEntry entry(std::string instance) const;

private:
    std::uint16_t m_port {0};
    int m_listener {-1};
    std::vector<int> m_fillers;
};

/// The value of a header field in a request's text, or nothing.
[[nodiscard]] std::optional<std::string> field_of(std::string_view request, std::string_view name);
[[nodiscard]] std::string body_of(std::string_view message);

/// A whole answer with the fields that a backend server gives.
[[nodiscard]] std::string answer_to(std::string const& request, int status, std::string const& body);
/// The head of an event stream in chunks, and one chunk of it.
[[nodiscard]] std::string stream_head_to(std::string const& request);
[[nodiscard]] std::string chunk(std::string const& text);
[[nodiscard]] std::string event(unsigned id);
/// What a backend server says that did not run the request.
[[nodiscard]] std::string refusal_to(std::string const& request, int status);

/// A caller that speaks byte by byte.
class RawCaller {
public:
    /// `receive_buffer` is what the kernel keeps for it, in bytes; 0 for what it likes.
    explicit RawCaller(std::uint16_t port, int receive_buffer = 0);
    ~RawCaller();
    RawCaller(RawCaller const&) = delete;
    RawCaller& operator=(RawCaller const&) = delete;

    void write(std::string_view) const;
    /// One whole answer by its framing; what came, when the connection ended first.
    struct Answer {
        int status {0};
        std::string head;
        std::string body;
        /// Its end came as HTTP marks it.
        bool is_whole {false};
    };
    [[nodiscard]] Answer read_answer();
    /// Waits until the body has so many bytes at least; false when the connection ends first.
    [[nodiscard]] bool read_body_bytes(std::size_t count);
    /// Waits until the text is what came first; false when the connection ends before.
    [[nodiscard]] bool has_received(std::string_view);
    /// Whether the other side has closed; waits for it.
    [[nodiscard]] bool is_closed_by_peer();
    void close();

private:
    [[nodiscard]] bool read_more();

    int m_descriptor;
    std::string m_input;
};

}
