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

/// Windows of usage, and when their reports are due.
struct UsageSettings {
    Core::Milliseconds window {5'000};
    /// A report is worth nothing this long after the end of its window.
    Core::Milliseconds report_deadline {10'000};
    /// Gateways that have not said that their counts are final are waited for, up to this part of `late`: what they
    /// counted may be on its way, and the rest is left for a change of holder and for refused calls.
    static constexpr double s_max_wait_ratio = 0.4;
    /// What was counted in the last moment of a window is known everywhere by then: three reports of 50 ms each, and
    /// the time that a slow host takes to look.
    static constexpr Core::Milliseconds s_min_wait {400};
};

/// What a gateway's thread and the thread of the duty both need: the counted usage, the agreed time, and the word on
/// who holds the duty. Any thread.
class SharedDuty {
public:
    /// `self` is the gateway's incarnation.
    SharedDuty(UsageSettings, std::uint64_t self, Core::MonotonicTime begun);

    /// A request of the workspace began to run then.
    void count(std::string const& workspace, Core::MonotonicTime begun);

    // For the exchange with other gateways.

    /// Reads this host's clock, and closes windows that have ended.
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

    /// Windows behind that one whose reports can be made and are not late, with their counts, in order.
    [[nodiscard]] std::vector<UsageReport> settled_reports(UsageWindow after, Core::MonotonicTime now) const;
    /// What was counted in each window that is remembered, by all gateways.
    [[nodiscard]] std::map<UsageWindow, std::uint64_t> window_totals() const;
    /// Time until the window's report is late; nothing before the time is agreed.
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
    /// When the closed window's counts are told once more.
    std::optional<std::pair<UsageWindow, Core::MonotonicTime>> m_resend;
    UsageWindow m_current;
};

}
