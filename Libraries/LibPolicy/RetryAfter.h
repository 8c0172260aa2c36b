#pragma once

#include <LibCore/Time.h>

namespace GraniteField::Policy {

/// Delay to send as Retry-After for a request that no backend server accepts before a known time. Distributes the
/// retries over the second after that time, urgent requests first, so that they do not arrive all at once. `priority`
/// is from 0, the most urgent, to 9; `draw` is a random number of the request from 0 to 1.
[[nodiscard]] inline Core::Milliseconds spread_retry_after(
    Core::Milliseconds until_available, unsigned priority, double draw)
{
    constexpr Core::Milliseconds spread {1'000};
    constexpr double priorities = 10;
    auto const fraction = (static_cast<double>(priority) + draw) / priorities;
    return until_available + std::chrono::duration_cast<Core::Milliseconds>(spread * fraction);
}

}
