#include <LibCore/Time.h>

#include <array>
#include <charconv>
#include <cmath>
#include <ctime>

namespace GraniteField::Core {

namespace {

struct Unit {
    std::string_view suffix;
    std::int64_t milliseconds;
};

// NOTE: Largest unit first, so that formatting finds the shortest text.
constexpr std::array s_units {Unit {"h", 3'600'000}, Unit {"m", 60'000}, Unit {"s", 1'000}, Unit {"ms", 1}};

}

BootClock::time_point BootClock::now() noexcept
{
    timespec reading {};
    // Fails for an unknown clock only; Linux has this one since 2.6.39.
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

std::optional<Milliseconds> parse_duration(std::string_view text)
{
    double count = 0;
    auto const* end = text.data() + text.size();
    // Plain decimals only: no sign, exponent, `inf` or `nan`.
    bool const begins_with_digit = !text.empty() && text.front() >= '0' && text.front() <= '9';
    auto const result = std::from_chars(text.data(), end, count, std::chars_format::fixed);
    if (!begins_with_digit || result.ec != std::errc {})
        return std::nullopt;
    std::string_view const suffix(result.ptr, static_cast<std::size_t>(end - result.ptr));
    for (auto const& unit : s_units) {
        if (unit.suffix != suffix)
            continue;
        auto const milliseconds = count * static_cast<double>(unit.milliseconds);
        if (milliseconds > static_cast<double>(s_longest_duration.count()))
            return std::nullopt;
        return Milliseconds(std::llround(milliseconds));
    }
    return std::nullopt;
}

std::string format_duration(Milliseconds duration)
{
    for (auto const& unit : s_units) {
        if (duration.count() != 0 && duration.count() % unit.milliseconds == 0)
            return std::to_string(duration.count() / unit.milliseconds) + std::string(unit.suffix);
    }
    return "0ms";
}

}
