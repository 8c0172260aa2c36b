#pragma once

#include <LibCore/Time.h>

namespace GraniteField::Policy {

/// Delay to send as Retry-After for a request that no backend server accepts before a known time. Callers return over a
/// while from then on, the urgent ones first: all at once, they would be rejected again. `priority` is from 0, the most
/// urgent, to 9; `draw` is the request's own, from 0 to 1.
[[nodiscard]] inline Core::Milliseconds return_delay(Core::Milliseconds until_opening, unsigned priority, double draw)
{
    constexpr Core::Milliseconds spread {1'000};
    constexpr double priorities = 10;
    auto const part = (static_cast<double>(priority) + draw) / priorities;
    return until_opening + std::chrono::duration_cast<Core::Milliseconds>(spread * part);
}

}
