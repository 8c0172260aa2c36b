#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Core {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// The clock that never steps back and goes on while the host is suspended (CLOCK_BOOTTIME). The library's steady clock
/// stands still meanwhile: by it a lease that ran out would still hold, and what others said would be as fresh as
/// before.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept;
};

/// A reading of that clock. Decisions take it as an argument and never read it themselves.
using MonotonicTime = BootClock::time_point;

/// The present reading. For the duties that wait and talk; decisions are told the time.
[[nodiscard]] inline MonotonicTime monotonic_now()
{
    return BootClock::now();
}

/// Whole milliseconds from one reading to another; negative when `to` is earlier.
[[nodiscard]] inline Milliseconds elapsed(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

/// The longest duration that a text can state: a longer one could overflow when it is added to a clock reading.
inline constexpr Milliseconds s_longest_duration = std::chrono::hours(24 * 365);

/// Reads a decimal number with a unit, to the millisecond: `250ms`, `9.6s`, `10m`, `2h`. Nothing else is a duration.
[[nodiscard]] std::optional<Milliseconds> parse_duration(std::string_view);

/// Writes a duration with the largest unit that divides it, so that parse_duration() reads it back.
[[nodiscard]] std::string format_duration(Milliseconds);

}
