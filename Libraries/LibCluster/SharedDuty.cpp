#include <LibCluster/SharedDuty.h>

#include <algorithm>

namespace GraniteField::Cluster {

namespace {

/// Windows are kept until their reports are late, and this many longer to allow for differing clocks.
constexpr int s_extra_windows_kept = 2;
/// Delay after which the counts of a closed window are sent once more. With one datagram in ten lost, this repetition
/// has to replace one count in a hundred.
constexpr Core::Milliseconds s_resend_delay {250};

}

SharedDuty::SharedDuty(UsageSettings settings, std::uint64_t self, Core::MonotonicTime started)
    : m_settings(settings)
    , m_self(self)
    , m_clock(started)
    , m_ledger(self)
{
}

void SharedDuty::count(std::string const& workspace, Core::MonotonicTime started)
{
    std::lock_guard const lock(m_mutex);
    if (auto const time = m_clock.at(started))
        m_ledger.count(window_at(*time, m_settings.window), workspace);
}

void SharedDuty::tick(WallTime own_clock, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_clock.add_reading(m_self, {own_clock}, now);
    if (!m_clock.at(now))
        m_clock.follow_readings(now);
    auto const window = window_at(*m_clock.at(now), m_settings.window);
    if (m_resend && now >= m_resend->second) {
        m_ledger.resend(m_resend->first);
        m_resend.reset();
    }
    if (window <= m_current)
        return;
    m_current = window;
    UsageWindow const closed(window.value() - 1);
    m_ledger.close(closed);
    m_resend = {closed, now + s_resend_delay};
    auto const kept = static_cast<std::uint64_t>(m_settings.report_deadline / m_settings.window) + s_extra_windows_kept;
    m_ledger.forget_before(UsageWindow(window.value() - std::min(window.value(), kept)));
}

bool SharedDuty::has_changes() const
{
    std::lock_guard const lock(m_mutex);
    return m_ledger.has_changes();
}

std::vector<GatewayUsage> SharedDuty::take_changes(std::size_t max_counts)
{
    std::lock_guard const lock(m_mutex);
    return m_ledger.take_changes(max_counts);
}

std::vector<GatewayUsage> SharedDuty::usage_snapshot(std::size_t max_counts) const
{
    std::lock_guard const lock(m_mutex);
    return m_ledger.snapshot(max_counts);
}

void SharedDuty::merge_usage(GatewayUsage const& usage, UsageLedger::Relaying relaying)
{
    std::lock_guard const lock(m_mutex);
    m_ledger.merge(usage, relaying);
}

void SharedDuty::add_clock_reading(std::uint64_t id, FleetClock::Reading reading, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_clock.add_reading(id, reading, now);
}

void SharedDuty::follow_agreed_time(FleetClock::Reading agreed, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_clock.follow_agreed_time(agreed, now);
}

void SharedDuty::follow_clock_readings(Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_clock.follow_readings(now);
}

std::optional<FleetClock::Reading> SharedDuty::host_median(Core::MonotonicTime now) const
{
    std::lock_guard const lock(m_mutex);
    return m_clock.host_median(now);
}

std::optional<WallTime> SharedDuty::fleet_time(Core::MonotonicTime now) const
{
    std::lock_guard const lock(m_mutex);
    return m_clock.at(now);
}

void SharedDuty::merge_status(DutyStatus const& status)
{
    std::lock_guard const lock(m_mutex);
    m_status.merge(status);
}

DutyStatus SharedDuty::status() const
{
    std::lock_guard const lock(m_mutex);
    return m_status;
}

bool SharedDuty::is_settled(UsageWindow window, WallTime time) const
{
    auto const passed = time - end_of(window, m_settings.window);
    if (passed < UsageSettings::s_min_wait)
        return false;
    return m_ledger.is_closed_by_all(window) || passed >= m_settings.report_deadline * UsageSettings::s_max_wait_ratio;
}

std::vector<UsageReport> SharedDuty::settled_reports(UsageWindow after, Core::MonotonicTime now) const
{
    std::lock_guard const lock(m_mutex);
    std::vector<UsageReport> reports;
    auto const time = m_clock.at(now);
    if (!time)
        return reports;
    for (auto const window : m_ledger.windows_after(after)) {
        if (!is_settled(window, *time))
            break;
        if (*time < end_of(window, m_settings.window) + m_settings.report_deadline)
            reports.push_back({window, m_ledger.totals(window)});
    }
    return reports;
}

std::map<UsageWindow, std::uint64_t> SharedDuty::window_totals() const
{
    std::lock_guard const lock(m_mutex);
    std::map<UsageWindow, std::uint64_t> totals;
    for (auto const window : m_ledger.windows_after(UsageWindow()))
        totals[window] = total_of(m_ledger.totals(window));
    return totals;
}

std::optional<Core::Milliseconds> SharedDuty::time_left(UsageWindow window, Core::MonotonicTime now) const
{
    std::lock_guard const lock(m_mutex);
    auto const time = m_clock.at(now);
    if (!time)
        return std::nullopt;
    return end_of(window, m_settings.window) + m_settings.report_deadline - *time;
}

}
