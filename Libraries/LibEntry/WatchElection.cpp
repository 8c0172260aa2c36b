#include <LibEntry/WatchElection.h>

#include <algorithm>

namespace GraniteField::Entry {

namespace {

/// Interval of checks while the thread that receives reports is late.
constexpr Core::Milliseconds s_late_check_interval {100};

}

void StoreReport::merge(StoreReport const& other)
{
    // An absent time compares as earlier than any other.
    elected_healthy_at = std::max(elected_healthy_at, other.elected_healthy_at);
    any_healthy_at = std::max({any_healthy_at, other.any_healthy_at, other.elected_healthy_at});
    versions.merge(other.versions);
}

void WatchElection::set_elected(bool value)
{
    if (value && !m_is_elected && !m_took_over_at)
        reset_contacts();
    m_is_elected = value;
}

void WatchElection::note_tick(Core::MonotonicTime now)
{
    bool const was_late = m_running.was_late();
    auto const stalled = m_running.note_tick(now);
    if (stalled.count() == 0)
        return;
    // Keep the time accumulated before; repeated stalls would otherwise restart the timeout forever.
    m_silent_since = silent_since() + stalled;
    // In a process whose ticks are all late, waiting again after each of them would never end.
    if (!was_late)
        m_report_wait_end = now + s_min_report_wait;
    if (m_behind_since)
        *m_behind_since += stalled;
    // An answer that has arrived is recorded only when its thread runs.
    for (auto& contact : m_contacts)
        contact.overdue_at += stalled;
}

void WatchElection::note_joining(PeerDiscovery discovery, Core::MonotonicTime now)
{
    // Covers the time until the next tick, which may be late.
    m_report_wait_end = std::max(m_report_wait_end, now + m_running.longest_gap());
    if (discovery == PeerDiscovery::Found)
        m_silent_since = std::max(m_silent_since, now);
}

void WatchElection::note_report(StoreReport const& report, Core::MonotonicTime now)
{
    if (report.versions.table > std::max(m_received_report.versions.table, m_own.table))
        m_table_known_since = now;
    if (report.any_healthy_at && m_received_report.any_healthy_at)
        m_report_gaps.note(Core::elapsed(*m_received_report.any_healthy_at, *report.any_healthy_at));
    m_received_report.merge(without_echo(report));
    if (!m_received_report.versions.is_ahead_of(m_own) || m_behind_since)
        return;
    m_behind_since = now;
    m_missing_versions = m_received_report.versions;
}

StoreReport WatchElection::without_echo(StoreReport report) const
{
    auto const is_echo = [](auto const& known, auto const& received) {
        return known && received && *received < *known + s_min_report_advance;
    };
    if (is_echo(m_received_report.elected_healthy_at, report.elected_healthy_at))
        report.elected_healthy_at.reset();
    if (is_echo(m_received_report.any_healthy_at, report.any_healthy_at))
        report.any_healthy_at.reset();
    return report;
}

void WatchElection::note_versions(StateVersions const& versions, Core::MonotonicTime now)
{
    if (versions.table > std::max(m_received_report.versions.table, m_own.table))
        m_table_known_since = now;
    m_own.merge(versions);
    if (!m_behind_since || m_missing_versions.is_ahead_of(m_own))
        return;
    m_behind_since.reset();
    note_report({}, now);
}

void WatchElection::note_call(Watch watch, Core::MonotonicTime overdue_at)
{
    m_contacts.at(static_cast<std::size_t>(watch)).overdue_at = overdue_at;
}

void WatchElection::note_answer(Watch watch)
{
    m_contacts.at(static_cast<std::size_t>(watch)).is_answered = true;
    m_retry_delay = m_settings.min_retry_delay;
}

void WatchElection::note_failure(Watch watch, Core::MonotonicTime now)
{
    m_contacts.at(static_cast<std::size_t>(watch)).is_answered = false;
    if (m_is_elected)
        return;
    // Back off, so that not all gateways keep calling a store that does not answer.
    m_took_over_at.reset();
    if (!is_behind()) {
        m_earliest_retry = now + m_settings.silence_timeout;
        return;
    }
    m_earliest_retry = now + m_retry_delay;
    m_retry_delay = std::min(m_retry_delay * 2, m_settings.silence_timeout);
}

bool WatchElection::is_watched(Watch watch) const
{
    return watch != Watch::Drains || m_settings.drains == DrainsWatch::Yes;
}

bool WatchElection::is_healthy(Core::MonotonicTime now) const
{
    for (std::size_t number = 0; number < s_watch_count; ++number) {
        auto const& contact = m_contacts.at(number);
        bool const is_in_time = contact.is_answered && now <= contact.overdue_at;
        if (!is_in_time && is_watched(static_cast<Watch>(number)))
            return false;
    }
    return true;
}

StoreKnowledge WatchElection::knowledge(Core::MonotonicTime now) const
{
    auto const last_healthy = is_healthy(now) ? std::optional(now) : m_received_report.any_healthy_at;
    auto versions = m_own;
    versions.merge(m_received_report.versions);
    return {versions, m_table_known_since, last_healthy};
}

StoreReport WatchElection::report(Core::MonotonicTime now) const
{
    StoreReport report = m_received_report;
    report.versions.merge(m_own);
    if (!is_healthy(now))
        return report;
    report.any_healthy_at = now;
    if (m_is_elected)
        report.elected_healthy_at = now;
    return report;
}

Core::MonotonicTime WatchElection::silent_since() const
{
    return std::max(m_received_report.any_healthy_at.value_or(m_silent_since), m_silent_since);
}

Core::Milliseconds WatchElection::silence_timeout() const
{
    // The timeout adapts to the gaps between reports only in a slow process. On other hosts, changes must be in force
    // in time even if all watchers have failed.
    return m_running.is_slow() ? m_report_gaps.silence_limit(m_settings.silence_timeout) : m_settings.silence_timeout;
}

Core::MonotonicTime WatchElection::suspicion_time() const
{
    return std::max(silent_since() + silence_timeout(), m_report_wait_end);
}

bool WatchElection::is_store_suspected(Core::MonotonicTime now) const
{
    return now >= suspicion_time();
}

std::optional<Core::MonotonicTime> WatchElection::behind_deadline() const
{
    if (!m_behind_since)
        return std::nullopt;
    return std::max(*m_behind_since + m_settings.behind_timeout, m_report_wait_end);
}

bool WatchElection::is_on_duty(Core::MonotonicTime now)
{
    if (m_is_elected)
        return true;
    auto const read_due_at = behind_deadline();
    bool const is_behind = read_due_at && now >= *read_due_at;
    if (m_took_over_at) {
        bool const is_replaced = m_received_report.elected_healthy_at
            && Core::elapsed(*m_received_report.elected_healthy_at, now) <= s_max_report_age && !is_behind
            && Core::elapsed(*m_took_over_at, now) >= s_min_duty_time;
        if (is_replaced)
            m_took_over_at.reset();
        return !is_replaced;
    }
    // The late thread may not have processed reports that have already arrived.
    if (m_running.is_late(now) || now < m_earliest_retry || (!is_behind && !is_store_suspected(now)))
        return false;
    m_took_over_at = now;
    m_takeover_reason = is_behind ? DutyReason::Behind : DutyReason::Silence;
    reset_contacts();
    return true;
}

WatchElection::DutyReason WatchElection::duty_reason() const
{
    if (m_is_elected)
        return DutyReason::Elected;
    return m_took_over_at ? m_takeover_reason : DutyReason::None;
}

char const* to_string(WatchElection::DutyReason reason)
{
    using enum WatchElection::DutyReason;
    switch (reason) {
    case None:
        return "none";
    case Elected:
        return "elected";
    case Silence:
        return "silence";
    case Behind:
        return "behind";
    }
    return "unknown";
}

Core::MonotonicTime WatchElection::next_check(Core::MonotonicTime now) const
{
    auto next = suspicion_time();
    if (auto const behind = behind_deadline())
        next = std::min(next, *behind);
    auto const soonest = m_running.is_late(now) ? now + s_late_check_interval : now;
    return std::max({next, m_earliest_retry, soonest});
}

}
