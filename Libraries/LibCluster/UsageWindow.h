#pragma once

#include <LibCluster/FleetClock.h>
#include <LibCore/StrongInteger.h>

#include <cstdint>
#include <map>
#include <string>

namespace GraniteField::Cluster {

/// Number of a window of usage: window k begins k lengths after the start of 1970.
using UsageWindow = Core::StrongInteger<struct UsageWindowTag>;

/// Requests that began to run, by workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

[[nodiscard]] inline std::uint64_t total_of(UsageCounts const& counts)
{
    std::uint64_t total = 0;
    for (auto const& [workspace, count] : counts)
        total += count;
    return total;
}

/// What is reported for one window.
struct UsageReport {
    UsageWindow window;
    UsageCounts counts;

    bool operator==(UsageReport const&) const = default;
};

[[nodiscard]] inline UsageWindow window_at(WallTime time, Core::Milliseconds length)
{
    return UsageWindow(static_cast<std::uint64_t>(time.time_since_epoch() / length));
}

/// The first moment behind the window.
[[nodiscard]] inline WallTime end_of(UsageWindow window, Core::Milliseconds length)
{
    return WallTime(length * static_cast<std::int64_t>(window.value() + 1));
}

}
