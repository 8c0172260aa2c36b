#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <optional>

namespace GraniteField::Core {

/// Detects that this process did not run for a while, because its host was frozen or suspended. Messages of others may
/// have arrived meanwhile and be unread. No I/O and no clock.
class StallDetector {
public:
    /// Longest time between two ticks of a running process: ticks come every 25 to 250 ms, and a process that has used
    /// up its share of a core waits for up to 100 ms more.
    static constexpr Milliseconds s_longest_tick {600};

    StallDetector() = default;
    /// Also detects a stall before the first tick.
    explicit StallDetector(MonotonicTime begun)
        : m_last_tick(begun)
    {
    }

    /// Records a tick. Returns the length of the stall before it, if there was one.
    std::optional<Milliseconds> note_tick(MonotonicTime now)
    {
        auto const before = m_last_tick.value_or(now);
        // Another thread may have stored a later time.
        m_last_tick = std::max(before, now);
        auto const passed = elapsed(before, now);
        return passed > s_longest_tick ? std::optional(passed) : std::nullopt;
    }

    /// Whether the next tick is overdue, so that the process has stalled.
    [[nodiscard]] bool is_overdue(MonotonicTime now) const
    {
        return m_last_tick && elapsed(*m_last_tick, now) > s_longest_tick;
    }

private:
    std::optional<MonotonicTime> m_last_tick;
};

}
