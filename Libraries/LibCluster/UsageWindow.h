#pragma once

#include <LibCluster/FleetClock.h>
#include <LibCore/StrongInteger.h>

#include <cstdint>
#include <map>
#include <string>

namespace GraniteField::Cluster {

/// Number of a usage window; window k starts k window lengths after the Unix epoch.
using UsageWindow = Core::StrongInteger<struct UsageWindowTag>;

/// Number of requests that started to run, by workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

[[nodiscard]] inline std::uint64_t total_of(UsageCounts const& counts)
{
    std::uint64_t total = 0;
    for (auto const& [workspace, count] : counts)
        total += count;
    return total;
}

/// Usage report for one window.
struct UsageReport {
    UsageWindow window;
    UsageCounts counts;

    bool operator==(UsageReport const&) const = default;
};

[[nodiscard]] inline UsageWindow window_at(WallTime time, Core::Milliseconds length)
{
    return UsageWindow(static_cast<std::uint64_t>(time.time_since_epoch() / length));
}

/// Returns the first moment after the window.
[[nodiscard]] inline WallTime end_of(UsageWindow window, Core::Milliseconds length)
{
    return WallTime(length * static_cast<std::int64_t>(window.value() + 1));
}

}
