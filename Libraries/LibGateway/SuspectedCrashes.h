#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/CrashFacts.h>

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Answers that broke off, while it is not known whether their server crashed. Connections also break where they are
/// reset on the way, where packets are lost, where a server spoils an answer or closes what it has not read, and where
/// this process was suspended itself: in all of these the server takes a new connection. Only one that refuses it,
/// while it is listed and not leaving, has crashed. No I/O and no clock.
class SuspectedCrashes {
public:
    /// A server that is asked again answers or refuses within a round trip; what is not known by then stays unknown.
    static constexpr Core::Milliseconds s_probe_timeout {500};
    /// Answers of a crashed server that break off within this time after the refusal belong to the same crash: a busy
    /// gateway reads some connections late.
    static constexpr Core::Milliseconds s_late_break_window {1'000};

    /// What is to be done about a broken answer.
    enum class Step {
        /// Ask the server for a connection, and tell how that went.
        ProbeServer,
        /// It is being asked.
        AwaitProbe,
        /// It has crashed: the witness counts.
        Count,
    };
    [[nodiscard]] Step add(Policy::CrashWitness const&, Core::MonotonicTime now);

    /// The server refused a connection; gives what has become certain.
    [[nodiscard]] std::vector<Policy::CrashWitness> note_refused(std::uint64_t life, Core::MonotonicTime now);
    /// The server took the connection, or nobody knows.
    void drop(std::uint64_t life) { m_unconfirmed.erase(life); }

private:
    absl::flat_hash_map<std::uint64_t, std::vector<Policy::CrashWitness>> m_unconfirmed;
    /// When crashed lives refused; kept for the late reading only.
    absl::flat_hash_map<std::uint64_t, Core::MonotonicTime> m_crashed;
};

}
