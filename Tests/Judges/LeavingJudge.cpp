#include "LeavingJudge.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <set>

namespace GraniteField::Testing {

void LeavingJudge::note_passed_on(std::string const& server, std::string const& gateway, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_passed_on[{server, gateway}].push_back(now);
}

void LeavingJudge::note_sent(std::string const& request, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_sent[request] = now;
}

void LeavingJudge::note_arrival(std::string const& server, std::string const& gateway, std::string const& request)
{
    std::lock_guard const lock(m_mutex);
    m_arrivals.push_back({server, gateway, request});
}

void LeavingJudge::note_excuse(std::string const& gateway, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_excuses[gateway].push_back(now);
}

std::optional<Core::MonotonicTime> LeavingJudge::bound_since(Arrival const& arrival, Core::MonotonicTime sent) const
{
    auto const passed_on = m_passed_on.find({arrival.server, arrival.gateway});
    if (passed_on == m_passed_on.end())
        return std::nullopt;
    auto excused = Core::MonotonicTime::min();
    if (auto const excuses = m_excuses.find(arrival.gateway); excuses != m_excuses.end()) {
        for (auto const time : excuses->second) {
            if (time <= sent)
                excused = std::max(excused, time);
        }
    }
    auto const first = std::ranges::find_if(passed_on->second, [excused](auto const time) { return time > excused; });
    return first == passed_on->second.end() || *first >= sent ? std::nullopt : std::optional(*first);
}

std::vector<std::string> LeavingJudge::findings() const
{
    std::lock_guard const lock(m_mutex);
    std::vector<std::string> findings;
    for (auto const& arrival : m_arrivals) {
        auto const sent = m_sent.find(arrival.request);
        if (sent == m_sent.end())
            continue;
        auto const since = bound_since(arrival, sent->second);
        if (!since || sent->second <= *since + m_bound)
            continue;
        findings.push_back(
            Core::concat("DRAIN: ", arrival.request, " reached ", arrival.server, " from ", arrival.gateway, ", sent ",
                Core::elapsed(*since, sent->second).count(), " ms after an answer had told it that the server leaves"));
    }
    return findings;
}

std::size_t LeavingJudge::left_alone() const
{
    std::lock_guard const lock(m_mutex);
    std::set<std::string> servers;
    for (auto const& [key, times] : m_passed_on)
        servers.insert(key.first);
    return servers.size();
}

}
