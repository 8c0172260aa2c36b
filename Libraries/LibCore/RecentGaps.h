#pragma once

#include <LibCore/Time.h>

#include <algorithm>

namespace GraniteField::Core {

/// The longest recent gap between two signs of life of a peer. It adapts the time after which a silent peer counts as
/// gone, as accrual failure detectors do. No I/O and no clock.
class RecentGaps {
public:
    void note(Milliseconds gap) { m_longest = std::max(gap, m_longest - m_longest / s_decay); }

    /// Time after which a silent peer counts as gone: `shortest` where the gaps are short.
    [[nodiscard]] Milliseconds silence_limit(Milliseconds shortest) const
    {
        return std::clamp(m_longest * s_margin, shortest, shortest * s_largest_factor);
    }

private:
    /// Number of signs of life in which the memory of a long gap decays by some two thirds.
    static constexpr int s_decay = 16;
    static constexpr int s_margin = 2;
    /// Peers that are gone must be noticed in the end, however long their gaps were.
    static constexpr int s_largest_factor = 8;

    Milliseconds m_longest {0};
};

}
