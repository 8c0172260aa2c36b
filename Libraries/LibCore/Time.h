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

/// Reads a whole number with a unit: `250ms`, `3s`, `10m`, `2h`. Nothing else is a duration.
[[nodiscard]] std::optional<Milliseconds> parse_duration(std::string_view);

/// Writes a duration with the largest unit that divides it, so that parse_duration() reads it back.
[[nodiscard]] std::string format_duration(Milliseconds);

}
