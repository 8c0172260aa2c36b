#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace GraniteField::Gateway {

/// The age of a time in milliseconds. Datagrams carry ages instead of times since the clocks of hosts differ. Times in
/// the future have the age 0.
[[nodiscard]] inline std::uint32_t age_of(Core::MonotonicTime time, Core::MonotonicTime now)
{
    constexpr std::int64_t oldest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Core::elapsed(time, now).count(), 0, oldest));
}

[[nodiscard]] inline Core::MonotonicTime time_of(std::uint32_t age_ms, Core::MonotonicTime now)
{
    return now - Core::Milliseconds(age_ms);
}

}
