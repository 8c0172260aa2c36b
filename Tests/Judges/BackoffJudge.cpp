#include "BackoffJudge.h"

#include <LibCore/Text.h>

#include <algorithm>

namespace GraniteField::Testing {

void BackoffJudge::note_rejection(
    std::string const& server, std::string const& gateway, Core::Milliseconds retry_after, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_rejections[{server, gateway}].push_back({now, now + retry_after});
}

void BackoffJudge::note_arrival(std::string const& server, std::string const& gateway, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_arrivals[{server, gateway}].push_back(now);
}

void BackoffJudge::note_disturbance(std::string const& gateway, Core::MonotonicTime begin, Core::MonotonicTime end)
{
    std::lock_guard const lock(m_mutex);
    m_disturbances[gateway].push_back({begin, end});
}

void BackoffJudge::note_answers_lost(std::string const& server, Core::MonotonicTime begin, Core::MonotonicTime end)
{
    std::lock_guard const lock(m_mutex);
    m_lost_answers[server].push_back({begin, end});
}

bool BackoffJudge::is_answer_lost(std::string const& server, Core::MonotonicTime rejected) const
{
    auto const found = m_lost_answers.find(server);
    return found != m_lost_answers.end() && std::ranges::any_of(found->second, [rejected](auto const& span) {
        return rejected + s_transit >= span.begin && rejected <= span.end;
    });
}

bool BackoffJudge::is_excused(Key const& key, Span const& span) const
{
    auto const& [server, gateway] = key;
    if (is_answer_lost(server, span.begin))
        return true;
    auto const found = m_disturbances.find(gateway);
    return found != m_disturbances.end() && std::ranges::any_of(found->second, [&](auto const& disturbance) {
        return disturbance.begin <= span.end && span.begin <= disturbance.end;
    });
}

std::vector<std::string> BackoffJudge::findings() const
{
    std::lock_guard const lock(m_mutex);
    std::vector<std::string> findings;
    for (auto const& [key, rejections] : m_rejections) {
        auto const arrivals = m_arrivals.find(key);
        if (arrivals == m_arrivals.end())
            continue;
        for (auto const& span : rejections) {
            auto const count = static_cast<std::size_t>(std::ranges::count_if(
                arrivals->second, [&](auto const time) { return time > span.begin + s_notice && time < span.end; }));
            if (count <= s_most_arrivals || is_excused(key, span))
                continue;
            findings.push_back(Core::concat("BUDGET: ", key.first, " had asked ", key.second, " for ",
                Core::elapsed(span.begin, span.end).count(), " ms of backoff, and got ", count,
                " requests from it in that time"));
        }
    }
    return findings;
}

std::size_t BackoffJudge::counted() const
{
    std::lock_guard const lock(m_mutex);
    std::size_t sum = 0;
    for (auto const& item : m_rejections) {
        auto const& key = item.first;
        sum += static_cast<std::size_t>(
            std::ranges::count_if(item.second, [&](auto const& span) { return !is_excused(key, span); }));
    }
    return sum;
}

}
