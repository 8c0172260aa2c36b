#include "RepeatedSendJudge.h"

#include <LibCore/Text.h>

#include <algorithm>

namespace GraniteField::Testing {

void RepeatedSendJudge::note_request(Request const& request)
{
    std::lock_guard const lock(m_mutex);
    m_sent[request.id].request = request;
    m_services[request.service].requests.push_back(request.sent);
}

void RepeatedSendJudge::note_arrival(Arrival const& arrival)
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_sent.find(arrival.request);
    if (found == m_sent.end()) {
        m_findings.push_back(Core::concat("a server received ", arrival.request, ", which no caller sent"));
        return;
    }
    auto& sent = found->second;
    if (arrival.is_in_touch)
        judge_time(sent, arrival);
    if (sent.arrivals++ == 0) {
        sent.first_arrival = arrival.time;
        sent.first_end = arrival.time + arrival.remaining.value_or(Core::Milliseconds(0));
        return;
    }
    auto& service = m_services[sent.request.service];
    service.repeats.push_back(arrival.time);
    judge_window(sent.request.service, service, arrival.time);
}

void RepeatedSendJudge::judge_time(Sent const& sent, Arrival const& arrival)
{
    bool const is_late_repeat = sent.arrivals > 0 && arrival.time > sent.first_arrival + s_time_tolerance;
    m_late_repeats += is_late_repeat ? 1 : 0;
    if (!arrival.remaining) {
        ++m_overlong;
        return;
    }
    auto const latest_end = std::max<Core::MonotonicTime>(sent.first_end, sent.request.sent + sent.request.timeout);
    bool const exceeds_callers = *arrival.remaining > sent.request.timeout + s_time_tolerance;
    bool const ends_late = is_late_repeat && arrival.time + *arrival.remaining > latest_end + s_time_tolerance;
    m_overlong += exceeds_callers || ends_late ? 1 : 0;
}

double RepeatedSendJudge::allowed(Service const& service, Core::MonotonicTime now) const
{
    auto const requests_until = [&](Core::MonotonicTime end) {
        return std::ranges::count_if(
            service.requests, [&](auto const& time) { return time > end - m_bounds.window && time <= end; });
    };
    auto const requests = std::max(
        {requests_until(now), requests_until(now - m_bounds.window / 2), requests_until(now - m_bounds.window)});
    return m_bounds.ratio * static_cast<double>(requests) + m_bounds.slack;
}

void RepeatedSendJudge::judge_window(std::string const& name, Service& service, Core::MonotonicTime now)
{
    while (service.repeats.front() <= now - m_bounds.window)
        service.repeats.pop_front();
    while (!service.requests.empty() && service.requests.front() <= now - 2 * m_bounds.window)
        service.requests.pop_front();
    Peak const used {service.repeats.size(), allowed(service, now)};
    if (used.share() > service.peak.share())
        service.peak = used;
    bool const is_reported = service.reported && now < *service.reported + m_bounds.window;
    if (used.share() <= 1 || is_reported)
        return;
    service.reported = now;
    m_findings.push_back(Core::concat("BUDGET: ", name, " received ", used.repeats, " repeated requests in ",
        m_bounds.window.count(), " ms, where ", used.allowed, " are allowed"));
}

void RepeatedSendJudge::note_begun(std::string const& request, std::string const& run)
{
    std::lock_guard const lock(m_mutex);
    m_sent[request].runs.insert(run);
}

void RepeatedSendJudge::note_run_ended(std::string const& run)
{
    std::lock_guard const lock(m_mutex);
    m_ended_runs.insert(run);
}

std::vector<std::string> RepeatedSendJudge::findings() const
{
    std::lock_guard const lock(m_mutex);
    auto findings = m_findings;
    auto const spread = std::ranges::count_if(m_sent, [this](auto const& item) {
        auto const& sent = item.second;
        auto const runs
            = std::ranges::count_if(sent.runs, [this](auto const& run) { return !m_ended_runs.contains(run); });
        return static_cast<std::size_t>(runs) > sent.request.max_servers;
    });
    if (static_cast<std::size_t>(spread) > s_max_spread_requests)
        findings.push_back(Core::concat("BUDGET: ", spread, " requests ran at more servers than their route allows"));
    if (m_overlong > s_max_overlong && m_overlong > m_late_repeats / 5)
        findings.push_back(Core::concat("BUDGET: ", m_overlong, " requests were given more time than was left, of ",
            m_late_repeats, " repeated late"));
    return findings;
}

std::map<std::string, RepeatedSendJudge::Peak> RepeatedSendJudge::peaks() const
{
    std::lock_guard const lock(m_mutex);
    std::map<std::string, Peak> peaks;
    for (auto const& [name, service] : m_services)
        peaks[name] = service.peak;
    return peaks;
}

std::size_t RepeatedSendJudge::late_repeats() const
{
    std::lock_guard const lock(m_mutex);
    return m_late_repeats;
}

}
