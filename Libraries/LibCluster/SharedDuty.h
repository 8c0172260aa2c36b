#pragma once

#include <LibCluster/DutyStatus.h>
#include <LibCluster/FleetClock.h>
#include <LibCluster/UsageLedger.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Cluster {

/// Length of the usage windows and deadlines of their reports.
struct UsageSettings {
    Core::Milliseconds window {5'000};
    /// Time after the end of its window at which a report is too late to be used.
    Core::Milliseconds report_deadline {10'000};
    /// Longest wait, as a part of `report_deadline`, for gateways that have not closed the window: their counts may be
    /// in transit. The rest of the time remains for a change of holder and for rejected calls.
    static constexpr double s_max_wait_ratio = 0.4;
    /// Shortest wait after the end of a window. It covers three reports of 50 ms each and the delay until a slow host
    /// checks for them, so that counts from the end of the window have reached all gateways.
    static constexpr Core::Milliseconds s_min_wait {400};
};

/// State that the gateway's thread shares with the thread of the duty: counted usage, agreed time and the status of the
/// lease. Thread-safe.
class SharedDuty {
public:
    /// `self` is the gateway's incarnation.
    SharedDuty(UsageSettings, std::uint64_t self, Core::MonotonicTime started);

    /// Counts a request of the workspace that started to run at the given time.
    void count(std::string const& workspace, Core::MonotonicTime started);

    // For the exchange with other gateways.

    /// Adds this host's clock reading, and closes windows that have ended. To be called periodically.
    void tick(WallTime own_clock, Core::MonotonicTime now);
    [[nodiscard]] bool has_changes() const;
    [[nodiscard]] std::vector<GatewayUsage> take_changes(std::size_t max_counts);
    [[nodiscard]] std::vector<GatewayUsage> usage_snapshot(std::size_t max_counts) const;
    void merge_usage(GatewayUsage const&, UsageLedger::Relaying);
    void add_clock_reading(std::uint64_t id, FleetClock::Reading, Core::MonotonicTime now);
    void follow_agreed_time(FleetClock::Reading, Core::MonotonicTime now);
    void follow_clock_readings(Core::MonotonicTime now);
    [[nodiscard]] std::optional<FleetClock::Reading> host_median(Core::MonotonicTime now) const;
    [[nodiscard]] std::optional<WallTime> fleet_time(Core::MonotonicTime now) const;
    void merge_status(DutyStatus const&);
    [[nodiscard]] DutyStatus status() const;

    // For the thread of the duty.

    /// Returns, in order, the windows after the given one whose reports are ready and not late, with their counts.
    [[nodiscard]] std::vector<UsageReport> settled_reports(UsageWindow after, Core::MonotonicTime now) const;
    /// Returns the sums over all gateways for each remembered window.
    [[nodiscard]] std::map<UsageWindow, std::uint64_t> window_totals() const;
    /// Returns the time until the window's report is late; nullopt before a time is agreed.
    [[nodiscard]] std::optional<Core::Milliseconds> time_left(UsageWindow, Core::MonotonicTime now) const;
    [[nodiscard]] UsageSettings const& settings() const { return m_settings; }

private:
    [[nodiscard]] bool is_settled(UsageWindow, WallTime) const;

    UsageSettings m_settings;
    std::uint64_t m_self;
    mutable std::mutex m_mutex;
    FleetClock m_clock;
    UsageLedger m_ledger;
    DutyStatus m_status;
    /// The closed window whose counts are sent a second time, and when.
    std::optional<std::pair<UsageWindow, Core::MonotonicTime>> m_resend;
    UsageWindow m_current;
};

}
