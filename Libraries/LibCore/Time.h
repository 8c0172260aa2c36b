#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Core {

/// A reading of the clock that never steps back. Decisions take it as an argument and never read it themselves.
using MonotonicTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// The present reading. For the duties that wait and talk; decisions are told the time.
[[nodiscard]] inline MonotonicTime monotonic_now()
{
    return std::chrono::steady_clock::now();
}

/// Whole milliseconds from one reading to another; negative when `to` is earlier.
[[nodiscard]] inline Milliseconds elapsed(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

/// Reads a decimal number with a unit, to the millisecond: `250ms`, `9.6s`, `10m`, `2h`. Nothing else is a duration.
[[nodiscard]] std::optional<Milliseconds> parse_duration(std::string_view);

/// Writes a duration with the largest unit that divides it, so that parse_duration() reads it back.
[[nodiscard]] std::string format_duration(Milliseconds);

}
