#include <LibGateway/DutySharing.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace GraniteField::Gateway {

namespace {

using Cluster::DutyWord;
using Cluster::UsageWindow;
using UsageMessages = google::protobuf::RepeatedPtrField<granitefield::protocol::GatewayUsage>;

/// Counts in one datagram: some 40 KB of the 64 that it can have. The others go with the next one.
constexpr std::size_t s_max_counts = 3'000;
/// Of these, new ones. The rest is left for all that a newcomer is told.
constexpr std::size_t s_max_changes = 1'000;
/// The longest name of a workspace that is taken from a datagram, in bytes.
constexpr std::size_t s_max_workspace_bytes = 256;
/// The holder's last sign of life is left out when it is older: by then others have looked for themselves.
constexpr Core::Milliseconds s_max_reported_age {60'000};

std::uint32_t age_of(Core::MonotonicTime time, Core::MonotonicTime now)
{
    auto const age = std::clamp<std::int64_t>(Core::elapsed(time, now).count(), 0, s_max_reported_age.count());
    return static_cast<std::uint32_t>(age);
}

void write_duty(granitefield::protocol::DutyWord& message, DutyWord const& duty, Core::MonotonicTime now)
{
    message.set_version(duty.version);
    message.set_heard_age_ms(age_of(duty.heard, now));
    if (duty.alive && Core::elapsed(*duty.alive, now) < s_max_reported_age)
        message.set_alive_age_ms(age_of(*duty.alive, now));
    message.set_is_released(duty.is_released);
}

DutyWord read_duty(granitefield::protocol::DutyWord const& message, Core::MonotonicTime now)
{
    DutyWord duty;
    duty.version = message.version();
    duty.heard = now - Core::Milliseconds(message.heard_age_ms());
    if (message.has_alive_age_ms())
        duty.alive = now - Core::Milliseconds(message.alive_age_ms());
    duty.is_released = message.is_released();
    return duty;
}

void write_usage(UsageMessages& messages, std::vector<Cluster::GatewayUsage> const& changes)
{
    for (auto const& usage : changes) {
        auto& message = *messages.Add();
        message.set_gateway(usage.gateway);
        message.set_closed_window(usage.closed.value());
        for (auto const& [window, counts] : usage.windows) {
            auto& window_message = *message.add_windows();
            window_message.set_window(window.value());
            for (auto const& [workspace, count] : counts) {
                auto& count_message = *window_message.add_counts();
                count_message.set_workspace(workspace);
                count_message.set_count(count);
            }
        }
    }
}

Cluster::GatewayUsage read_usage(granitefield::protocol::GatewayUsage const& message)
{
    Cluster::GatewayUsage usage;
    usage.gateway = message.gateway();
    usage.closed = UsageWindow(message.closed_window());
    for (auto const& window : message.windows()) {
        auto& counts = usage.windows[UsageWindow(window.window())];
        for (auto const& count : window.counts())
            counts[count.workspace()] = count.count();
    }
    return usage;
}

bool is_usage_within_bounds(UsageMessages const& messages)
{
    std::size_t counts = 0;
    for (auto const& message : messages) {
        for (auto const& window : message.windows()) {
            counts += static_cast<std::size_t>(window.counts_size());
            bool const has_long_name = std::ranges::any_of(
                window.counts(), [](auto const& count) { return count.workspace().size() > s_max_workspace_bytes; });
            if (has_long_name)
                return false;
        }
    }
    return counts <= s_max_counts;
}

Cluster::WallTime to_time(std::int64_t milliseconds)
{
    return Cluster::WallTime(Core::Milliseconds(milliseconds));
}

}

bool DutySharing::is_within_bounds(granitefield::protocol::GatewayLoad const& report)
{
    return is_usage_within_bounds(report.usage());
}

bool DutySharing::is_within_bounds(granitefield::protocol::RelayedLoad const& relayed)
{
    return is_usage_within_bounds(relayed.usage());
}

void DutySharing::fill_report(
    granitefield::protocol::GatewayLoad& report, Cluster::WallTime own_clock, Core::MonotonicTime now)
{
    write_usage(*report.mutable_usage(), m_duty.take_changes(s_max_changes));
    report.set_clock_ms(own_clock.time_since_epoch().count());
    write_duty(*report.mutable_duty(), m_duty.word(), now);
}

void DutySharing::receive_report(granitefield::protocol::GatewayLoad const& report, Core::MonotonicTime now)
{
    for (auto const& usage : report.usage())
        m_duty.take(read_usage(usage), Cluster::UsageLedger::Relaying::Yes);
    if (report.clock_ms() > 0)
        m_duty.note_clock(report.sender(), {to_time(report.clock_ms())}, now);
    if (report.has_duty())
        m_duty.note_word(read_duty(report.duty(), now));
}

void DutySharing::fill_relayed(granitefield::protocol::RelayedLoad& relayed, Core::MonotonicTime now)
{
    m_duty.follow_clock_readings(now);
    write_usage(*relayed.mutable_usage(), m_duty.take_changes(s_max_changes));
    write_duty(*relayed.mutable_duty(), m_duty.word(), now);
    auto const agreed = m_duty.fleet_time(now);
    auto const median = m_duty.host_median(now);
    if (!agreed || !median)
        return;
    auto& time = *relayed.mutable_time();
    time.set_agreed_ms(agreed->time_since_epoch().count());
    time.set_median_ms(median->time.time_since_epoch().count());
    time.set_hosts(median->hosts);
}

void DutySharing::fill_all(granitefield::protocol::RelayedLoad& relayed)
{
    write_usage(*relayed.mutable_usage(), m_duty.everything(s_max_counts - s_max_changes));
}

void DutySharing::receive_relayed(
    granitefield::protocol::RelayedLoad const& relayed, Sender sender, Core::MonotonicTime now)
{
    for (auto const& usage : relayed.usage())
        m_duty.take(read_usage(usage), Cluster::UsageLedger::Relaying::No);
    if (relayed.has_duty())
        m_duty.note_word(read_duty(relayed.duty(), now));
    if (!relayed.has_time())
        return;
    auto const& time = relayed.time();
    if (sender == Sender::OwnRelay)
        return m_duty.follow_clock_word({to_time(time.agreed_ms()), time.hosts()}, now);
    m_duty.note_clock(
        relayed.relay(), {to_time(time.median_ms()), time.hosts(), Cluster::FleetClock::Source::Group}, now);
}

}
