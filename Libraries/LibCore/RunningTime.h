#pragma once

#include <LibCore/StallDetector.h>
#include <LibCore/Time.h>

#include <optional>

namespace GraniteField::Core {

/// The time that a process has run since its start, and how often it is to tick. A process that is stopped, or whose
/// processors are taken by others, receives nothing meanwhile, so that limits on what it should have received do not
/// count that time. No I/O and no clock.
class RunningTime {
public:
    /// Longest interval between ticks.
    static constexpr Milliseconds s_interval {100};
    /// The same for a process that runs late. Its background work would otherwise take what little processor time it
    /// gets.
    static constexpr Milliseconds s_slow_interval {400};
    /// Delay of a tick that is still on time: a process that has used up its share of a core waits for up to 100 ms.
    static constexpr Milliseconds s_longest_delay {150};
    /// Time without a late tick after which a process counts as running well again.
    static constexpr Milliseconds s_recovery {10'000};

    explicit RunningTime(MonotonicTime begun)
        : m_begun(begun)
        , m_last_tick(begun)
    {
    }

    /// Records a tick. Returns the time lost before it: zero for a tick that is on time.
    Milliseconds note_tick(MonotonicTime now)
    {
        // Another thread may have stored a later time.
        if (now <= m_last_tick)
            return Milliseconds(0);
        auto const lost = lost_until(now);
        m_lost += lost;
        m_is_late = is_late(now);
        if (m_is_late)
            m_last_late = now;
        m_last_tick = now;
        return lost;
    }

    /// Whether the next tick is overdue.
    [[nodiscard]] bool is_late(MonotonicTime now) const { return elapsed(m_last_tick, now) > longest_gap(); }
    /// Whether the last tick was late.
    [[nodiscard]] bool was_late() const { return m_is_late; }
    /// Whether the process runs late, or did so a short time ago.
    [[nodiscard]] bool is_slow() const { return m_last_late && elapsed(*m_last_late, m_last_tick) <= s_recovery; }
    /// Longest interval between ticks now.
    [[nodiscard]] Milliseconds interval() const { return is_slow() ? s_slow_interval : s_interval; }

    /// Longest gap between ticks that are on time now.
    [[nodiscard]] Milliseconds longest_gap() const { return interval() + s_longest_delay; }

    /// The time lost until the last tick.
    [[nodiscard]] Milliseconds lost() const { return m_lost; }
    /// The time run until now.
    [[nodiscard]] Milliseconds at(MonotonicTime now) const { return elapsed(m_begun, clock(now)); }
    /// Reads a clock that stands still while the process does not run.
    [[nodiscard]] MonotonicTime clock(MonotonicTime now) const { return now - m_lost - lost_until(now); }

private:
    [[nodiscard]] Milliseconds lost_until(MonotonicTime now) const
    {
        if (!is_late(now))
            return Milliseconds(0);
        // A stall does not count at all. Where one tick after the other is late, the process runs slowly and its limits
        // must still end.
        auto const passed = elapsed(m_last_tick, now);
        bool const is_stall = !m_is_late && passed > StallDetector::s_longest_tick;
        return passed - (is_stall ? Milliseconds(0) : longest_gap());
    }

    MonotonicTime m_begun;
    MonotonicTime m_last_tick;
    Milliseconds m_lost {0};
    bool m_is_late {false};
    std::optional<MonotonicTime> m_last_late;
};

}
