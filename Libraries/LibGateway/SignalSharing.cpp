#include <LibGateway/SignalSharing.h>

#include <LibGateway/MessageAge.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace GraniteField::Gateway {

namespace {

using Policy::LeavingFacts;
using Policy::RateLimitFacts;

bool is_valid(granitefield::protocol::RateLimitReport const& message)
{
    return std::isfinite(message.rate()) && message.rate() >= 0;
}

void write(SignalSharing::Message& target, std::vector<RateLimitFacts::Report> const& reports, Core::MonotonicTime now)
{
    for (auto const& [server, fact] : reports) {
        auto& message = *target.add_rate_limits();
        message.set_server(server);
        message.set_rate(fact.rate);
        if (fact.last_limited)
            message.set_last_limited_age_ms(age_of(*fact.last_limited, now));
        if (fact.first_limited)
            message.set_first_limited_age_ms(age_of(*fact.first_limited, now));
        if (fact.last_unlimited)
            message.set_last_unlimited_age_ms(age_of(*fact.last_unlimited, now));
    }
}

void write(SignalSharing::Message& target, std::vector<LeavingFacts::Report> const& reports, Core::MonotonicTime now)
{
    for (auto const& [server, fact] : reports) {
        auto& message = *target.add_leaving();
        message.set_server(server);
        message.set_stated_age_ms(age_of(fact.stated, now));
    }
}

RateLimitFacts::Report read(granitefield::protocol::RateLimitReport const& message, Core::MonotonicTime now)
{
    Policy::RateLimitFact fact;
    fact.rate = message.rate();
    if (message.has_last_limited_age_ms())
        fact.last_limited = time_of(message.last_limited_age_ms(), now);
    if (message.has_first_limited_age_ms())
        fact.first_limited = time_of(message.first_limited_age_ms(), now);
    if (message.has_last_unlimited_age_ms())
        fact.last_unlimited = time_of(message.last_unlimited_age_ms(), now);
    return {message.server(), fact};
}

}

bool SignalSharing::has_due_reports(Core::MonotonicTime now) const
{
    return m_fleet.rate_limits().has_due_reports(now) || m_fleet.leaving_facts().has_due_reports(now);
}

bool SignalSharing::is_within_bounds(Message const& message)
{
    // A newcomer gets all facts along with the due reports.
    constexpr auto max_count = static_cast<int>(2 * Policy::s_most_reports);
    return message.rate_limits_size() <= max_count && message.leaving_size() <= max_count
        && std::ranges::all_of(message.rate_limits(), is_valid);
}

void SignalSharing::fill(Message& message, Core::MonotonicTime now)
{
    write(message, m_fleet.rate_limits().take_due_reports(now), now);
    write(message, m_fleet.leaving_facts().take_due_reports(now), now);
}

void SignalSharing::fill_all(Message& message, Core::MonotonicTime now) const
{
    write(message, m_fleet.rate_limits().everything(), now);
    write(message, m_fleet.leaving_facts().everything(), now);
}

void SignalSharing::receive(Message const& message, Policy::Relaying relaying, Core::MonotonicTime now)
{
    for (auto const& report : message.rate_limits())
        m_fleet.receive_report(read(report, now), relaying, now);
    for (auto const& report : message.leaving())
        m_fleet.receive_report(
            LeavingFacts::Report {report.server(), {time_of(report.stated_age_ms(), now)}}, relaying, now);
}

}
