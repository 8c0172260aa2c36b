#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <optional>

namespace GraniteField::Core {

/// Notices that this process did not run for a while: its host was frozen or suspended. What was silent meanwhile may
/// have spoken, and is only now to be read. No I/O and no clock.
class AbsenceWatch {
public:
    /// Turns come every 25 to 250 ms; a process with a tenth of a core that has spent it waits for up to 100 ms more.
    static constexpr Milliseconds s_longest_turn {600};

    AbsenceWatch() = default;
    /// An absence before the first turn counts as well, from this time on.
    explicit AbsenceWatch(MonotonicTime begun)
        : m_last_turn(begun)
    {
    }

    /// A turn begins; says how long the process was away before it, if it was.
    std::optional<Milliseconds> note_turn(MonotonicTime now)
    {
        auto const before = m_last_turn.value_or(now);
        // Another thread may have noted a later one.
        m_last_turn = std::max(before, now);
        auto const passed = elapsed(before, now);
        return passed > s_longest_turn ? std::optional(passed) : std::nullopt;
    }

    /// Whether the next turn is later than any would be, had this process run all the while. Before the first turn
    /// nothing is.
    [[nodiscard]] bool is_overdue(MonotonicTime now) const
    {
        return m_last_turn && elapsed(*m_last_turn, now) > s_longest_turn;
    }

private:
    std::optional<MonotonicTime> m_last_turn;
};

}
