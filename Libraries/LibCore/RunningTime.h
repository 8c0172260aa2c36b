#pragma once

#include <LibCore/AbsenceWatch.h>
#include <LibCore/Time.h>

namespace GraniteField::Core {

/// How long a process has run since it began, its absences left out: what it was to hear or learn within a time, it
/// could not while its host was frozen. No I/O and no clock.
class RunningTime {
public:
    explicit RunningTime(MonotonicTime begun)
        : m_counted_from(begun)
        , m_absence(begun)
    {
    }

    /// A turn begins; there is one each 250 ms at least.
    void note_turn(MonotonicTime now)
    {
        if (auto const away = m_absence.note_turn(now))
            m_counted_from += *away;
    }

    /// At a turn that has been noted.
    [[nodiscard]] Milliseconds at(MonotonicTime now) const { return elapsed(m_counted_from, now); }

private:
    MonotonicTime m_counted_from;
    AbsenceWatch m_absence;
};

}
