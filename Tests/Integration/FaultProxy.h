#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>
#include <LibCore/WakeEvent.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace GraniteField::Testing {

/// A TCP proxy that makes failures at run time. It listens on a port that the kernel chooses.
class FaultProxy {
public:
    enum class Mode {
        /// Hands everything on.
        Pass,
        /// Keeps connections and hands nothing on, in both directions; new ones are taken and stay silent.
        Freeze,
        /// Like Freeze, but only towards the target; answers still pass.
        FreezeRequests,
        /// Like Freeze, but only towards the client.
        FreezeAnswers,
        /// Closes every new connection at once.
        Refuse,
    };

    explicit FaultProxy(Core::Address target);
    ~FaultProxy();
    FaultProxy(FaultProxy const&) = delete;
    FaultProxy& operator=(FaultProxy const&) = delete;

    void set_mode(Mode);
    void set_target(Core::Address);
    void set_delay(Core::Milliseconds);
    /// Hands on so many bytes a second in each direction, over all connections together; 0 for no limit.
    void set_rate(std::size_t bytes_per_second);
    /// Ends every connection: with a reset, so that what is under way is lost.
    void reset_connections();
    /// Resets a connection as soon as so many bytes came from the target on it; 0 for never.
    void reset_after_answer_bytes(std::size_t);
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::uint64_t connection_count() const { return m_connection_count; }

private:
    struct Chunk {
        Core::MonotonicTime due;
        std::string bytes;
    };

    /// What a direction may hand on by now.
    struct Allowance {
        Core::MonotonicTime counted;
        double bytes {0};
    };

    /// One direction of a connection.
    struct Stream {
        int from {-1};
        int to {-1};
        std::deque<Chunk> chunks;
        std::size_t total {0};
        bool has_ended {false};
        bool has_sent_end {false};
    };

    struct Pair {
        Stream request;
        Stream answer;
        bool is_dead {false};
    };

    void run();
    void accept_connection();
    void read_from(Stream&, Pair&, Core::MonotonicTime now);
    void write_to(Stream&, Pair&, Core::MonotonicTime now);
    void count_allowances(Core::MonotonicTime now);
    void close_pair(Pair&, bool should_reset) const;
    [[nodiscard]] bool is_frozen(Pair const&, Stream const&) const;

    int m_listener {-1};
    std::uint16_t m_port {0};
    mutable std::mutex m_mutex;
    Core::Address m_target;
    Mode m_mode {Mode::Pass};
    Core::Milliseconds m_delay {0};
    std::size_t m_rate {0};
    Allowance m_request_allowance;
    Allowance m_answer_allowance;
    std::size_t m_reset_after {0};
    bool m_should_reset {false};
    std::list<Pair> m_pairs;
    std::atomic<std::uint64_t> m_connection_count {0};
    Core::WakeEvent m_wake;
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

}
