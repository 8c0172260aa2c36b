#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/CrashFacts.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Keeps requests whose server may have crashed until it is known whether it has. Connections also break on a reset in
/// the network, on packet loss, when a server spoils an answer or closes with unread input, and when this process was
/// suspended; in all of these cases the server accepts a new connection. A server has crashed if it refuses the
/// connection while it is listed and not leaving, or if another run of a server has taken its address. No I/O and no
/// clock.
class SuspectedCrashes {
public:
    /// Time after the crash in which further broken answers count towards it: a busy gateway reads some connections
    /// late.
    static constexpr Core::Milliseconds s_late_break_window {1'000};
    /// Time for which a server that accepts connections remains a suspect: a supervisor may have restarted it before
    /// the probe, and its new entry takes until then to arrive in the list of servers.
    static constexpr Core::Milliseconds s_replacement_window {3'000};
    /// Memory limit.
    static constexpr std::size_t s_max_requests_per_server = 256;

    /// A server that may have crashed.
    struct Server {
        Policy::ServerIncarnation life;
        /// Time at which the server was first listed.
        Core::MonotonicTime listed_since;
    };

    enum class Step {
        /// Probe the server with a connection and report the result.
        ProbeServer,
        /// A probe is running.
        AwaitProbe,
        /// The server has crashed; the witness counts.
        Count,
    };
    /// Adds a request whose answer broke.
    [[nodiscard]] Step add(Policy::CrashWitness const&, Core::MonotonicTime listed_since, Core::MonotonicTime now);
    /// Adds a request whose answer ended as it would in a crash, at a server that accepts connections. Returns false if
    /// there are too many.
    [[nodiscard]] bool add_ended(Policy::CrashWitness const&, Core::MonotonicTime listed_since);

    /// The requests that were at a server before it crashed.
    struct Crash {
        std::vector<Policy::CrashWitness> witnesses;
        /// Answers that ended too long before the crash to have been ended by it.
        std::vector<Policy::CrashWitness> completed;
    };
    /// Records the crash of the server. Its time, unless known, is that of the last broken or ended answer.
    [[nodiscard]] Crash confirm(
        std::uint64_t life, std::optional<Core::MonotonicTime> crashed, Core::MonotonicTime now);
    /// Records a probe that was accepted or had no result.
    void note_not_refused(std::uint64_t life);

    [[nodiscard]] std::vector<Server> servers() const;
    /// Number of requests that were at the server, while it is a suspect.
    [[nodiscard]] std::size_t count_requests(std::uint64_t life) const;
    /// Drops servers that have not crashed within the window. Returns the requests whose answers have ended there.
    [[nodiscard]] std::vector<Policy::CrashWitness> take_ended(Core::MonotonicTime now);

private:
    struct Suspect {
        Server server;
        bool is_probed {false};
        std::vector<Policy::CrashWitness> broken;
        std::vector<Policy::CrashWitness> ended;
    };

    [[nodiscard]] Suspect& suspect(Policy::CrashWitness const&, Core::MonotonicTime listed_since);

    absl::flat_hash_map<std::uint64_t, Suspect> m_suspects;
    /// Time of the confirmation by server run, kept for s_late_break_window.
    absl::flat_hash_map<std::uint64_t, Core::MonotonicTime> m_crashed;
};

}
