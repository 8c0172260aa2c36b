#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/CrashFacts.h>

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Keeps broken answers until a probe shows whether their server has crashed. Connections also break on a reset in the
/// network, on packet loss, when a server spoils an answer or closes with unread input, and when this process was
/// suspended; in all of these cases the server accepts a new connection. A server has crashed only if it refuses the
/// connection while it is listed and not leaving. No I/O and no clock.
class SuspectedCrashes {
public:
    /// Time after the refusal in which further broken answers count towards the same crash: a busy gateway reads some
    /// connections late.
    static constexpr Core::Milliseconds s_late_break_window {1'000};

    enum class Step {
        /// Probe the server with a connection and report the result.
        ProbeServer,
        /// A probe is running.
        AwaitProbe,
        /// The server has crashed; the witness counts.
        Count,
    };
    [[nodiscard]] Step add(Policy::CrashWitness const&, Core::MonotonicTime now);

    /// Records a refused probe and returns the witnesses that it confirms.
    [[nodiscard]] std::vector<Policy::CrashWitness> note_refused(std::uint64_t life, Core::MonotonicTime now);
    /// Number of witnesses that wait for the result of a probe.
    [[nodiscard]] std::size_t count_unconfirmed(std::uint64_t life) const
    {
        auto const found = m_unconfirmed.find(life);
        return found == m_unconfirmed.end() ? 0 : found->second.size();
    }
    /// Drops the witnesses after a probe that was accepted or had no result.
    void drop(std::uint64_t life) { m_unconfirmed.erase(life); }

private:
    absl::flat_hash_map<std::uint64_t, std::vector<Policy::CrashWitness>> m_unconfirmed;
    /// Time of the refusal by server run, kept for s_late_break_window.
    absl::flat_hash_map<std::uint64_t, Core::MonotonicTime> m_crashed;
};

}
