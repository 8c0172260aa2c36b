#include <LibEntry/WatchDuty.h>

#include <utility>

namespace GraniteField::Entry {

using Platform::FollowerTurn;

namespace {

/// Parts of the contact time. The silence timeouts of gateways lie between one and two parts, so that some gateways
/// watch when all watchers have died, but not all at once. The others receive what these read some 200 ms later.
constexpr int s_silence_parts = 4;

/// Parts of the time within which a change must be in force. A gateway that is behind reads from the store after one to
/// two parts. Two more are left for the store's answer, and for a second call if the first one is lost.
constexpr int s_behind_parts = 5;

/// Returns a time between `min_time` and twice that, depending on the gateway.
Core::Milliseconds spread_over_gateways(Core::Milliseconds min_time, std::uint64_t order)
{
    return min_time
        + Core::Milliseconds(static_cast<std::int64_t>(order % static_cast<std::uint64_t>(min_time.count() + 1)));
}

WatchElection::Settings election_settings(
    Core::Milliseconds contact_time, Core::Milliseconds apply_limit, std::uint64_t order, SharedDrains const* drains)
{
    using DrainsWatch = WatchElection::DrainsWatch;
    WatchElection::Settings settings;
    settings.silence_timeout = spread_over_gateways(WatchDuty::min_silence_timeout(contact_time), order);
    settings.behind_timeout = spread_over_gateways(apply_limit / s_behind_parts, order);
    settings.drains = drains == nullptr ? DrainsWatch::No : DrainsWatch::Yes;
    return settings;
}

}

Core::Milliseconds WatchDuty::min_silence_timeout(Core::Milliseconds contact_time)
{
    return contact_time / s_silence_parts;
}

WatchDuty::WatchDuty(Core::Milliseconds contact_time, std::uint64_t order, SharedTable const& table,
    SharedServers const& servers, Observe::EventLog& log, Observe::MetricRegistry& metrics,
    Core::Milliseconds apply_limit, SharedDrains const* drains)
    : m_table(table)
    , m_servers(servers)
    , m_drains(drains)
    , m_log(log)
    , m_watching(metrics.gauge("granitefield_store_watching"))
    , m_election(election_settings(contact_time, apply_limit, order, drains), Core::monotonic_now())
{
}

void WatchDuty::set_elected(bool value)
{
    std::lock_guard const lock(m_mutex);
    // Ticks of another thread would hide a stall of the thread that passes reports.
    if (!m_receives_reports)
        m_election.note_tick(Core::monotonic_now());
    if (std::exchange(m_is_elected, value) == value)
        return;
    m_election.set_elected(value);
    m_signal.notify_all();
}

void WatchDuty::record_versions(Core::MonotonicTime now)
{
    auto const table = m_table.current();
    StateVersions const own {table ? table->version() : Core::TableVersion(),
        m_drains == nullptr ? DrainsVersion() : m_drains->version(), m_servers.settled_revision()};
    m_election.note_versions(own, now);
}

void WatchDuty::note_joining(WatchElection::PeerDiscovery discovery, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_election.note_joining(discovery, now);
}

void WatchDuty::note_report(StoreReport const& report, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_receives_reports = true;
    m_election.note_tick(now);
    record_versions(now);
    m_election.note_report(report, now);
    wake_if_earlier(now);
}

void WatchDuty::wake_if_earlier(Core::MonotonicTime now)
{
    // The followers chose the time of their next check before this report. Without a wake-up, a gateway to which the
    // report shows that it is behind would check up to half the contact time too late.
    if (m_election.next_check(now) >= m_next_check)
        return;
    m_next_check = Core::MonotonicTime::max();
    m_signal.notify_all();
}

StoreReport WatchDuty::report(Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    record_versions(now);
    return m_election.report(now);
}

StoreKnowledge WatchDuty::knowledge(Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    record_versions(now);
    return m_election.knowledge(now);
}

bool WatchDuty::follows_store()
{
    std::lock_guard const lock(m_mutex);
    return m_was_on_duty;
}

void WatchDuty::stop()
{
    std::lock_guard const lock(m_mutex);
    m_is_stopped = true;
    m_signal.notify_all();
}

void WatchDuty::log_duty_change(bool is_on_duty, Core::MonotonicTime now)
{
    if (std::exchange(m_was_on_duty, is_on_duty) == is_on_duty)
        return;
    m_watching.set(is_on_duty ? 1 : 0);
    m_log.write(Observe::LogEvent("store-watch")
                    .add("watches", is_on_duty)
                    .add("elected", m_is_elected)
                    .add("reason", to_string(m_election.duty_reason()))
                    .add("silence_ms", m_election.silence(now))
                    .add("lost_ms", m_election.stalled_time()));
}

FollowerTurn WatchDuty::Follower::wait_for_turn()
{
    auto& duty = m_duty.get();
    std::unique_lock lock(duty.m_mutex);
    bool has_waited = !std::exchange(m_has_started, true);
    while (!duty.m_is_stopped) {
        auto const now = Core::monotonic_now();
        duty.record_versions(now);
        bool const is_on_duty = duty.m_election.is_on_duty(now);
        duty.log_duty_change(is_on_duty, now);
        if (is_on_duty && !has_waited)
            return FollowerTurn::GoOn;
        if (is_on_duty)
            return duty.m_election.is_store_suspected(now) ? FollowerTurn::ResumeInDoubt : FollowerTurn::Resume;
        has_waited = true;
        duty.m_next_check = duty.m_election.next_check(now);
        duty.m_signal.wait_until(lock, duty.m_next_check);
    }
    return FollowerTurn::Stop;
}

void WatchDuty::Follower::note_call(Core::Milliseconds limit)
{
    auto& duty = m_duty.get();
    std::lock_guard const lock(duty.m_mutex);
    duty.m_election.note_call(m_watch, Core::monotonic_now() + limit);
}

void WatchDuty::Follower::note_answer()
{
    auto& duty = m_duty.get();
    std::lock_guard const lock(duty.m_mutex);
    duty.m_election.note_answer(m_watch);
}

void WatchDuty::Follower::note_failure()
{
    auto& duty = m_duty.get();
    std::lock_guard const lock(duty.m_mutex);
    duty.m_election.note_failure(m_watch, Core::monotonic_now());
}

}
