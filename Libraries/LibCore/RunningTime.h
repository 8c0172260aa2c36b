#pragma once

#include <LibCore/StallDetector.h>
#include <LibCore/Time.h>

namespace GraniteField::Core {

/// The time that a process has run since its start, without stalls: a stalled process receives nothing, so that limits
/// on what it should have received do not count that time. No I/O and no clock.
class RunningTime {
public:
    explicit RunningTime(MonotonicTime begun)
        : m_counted_from(begun)
        , m_stalls(begun)
    {
    }

    /// Records a tick; there is one each 250 ms at least.
    void note_tick(MonotonicTime now)
    {
        if (auto const stall = m_stalls.note_tick(now))
            m_counted_from += *stall;
    }

    /// The time run at a tick that has been recorded.
    [[nodiscard]] Milliseconds at(MonotonicTime now) const { return elapsed(m_counted_from, now); }

private:
    MonotonicTime m_counted_from;
    StallDetector m_stalls;
};

}
