#pragma once

#include <LibCore/AbsenceWatch.h>
#include <LibCore/Time.h>

#include <map>

#include <sys/types.h>

namespace GraniteField::Testing {

/// How long processes waited for a processor while they could have run, by the kernel's own count. A promise in time
/// holds for processes that run; beside enough load this machine may leave one without a processor for many seconds.
class ProcessorWaits {
public:
    /// From such a wait on a process counts as away, as it does for itself.
    static constexpr Core::Milliseconds s_longest_wait = Core::AbsenceWatch::s_longest_turn;

    void watch(pid_t);

    /// Whether any of them has waited for longer since the last question. One that has ended is left out.
    [[nodiscard]] bool was_any_away();

    /// How long all threads of the process have waited so far.
    [[nodiscard]] static Core::Milliseconds waited(pid_t);

private:
    /// The waits at the last question.
    std::map<pid_t, Core::Milliseconds> m_waits;
};

}
