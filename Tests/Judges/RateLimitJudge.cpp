#include "RateLimitJudge.h"

#include <LibCore/Text.h>

#include <algorithm>

namespace GraniteField::Testing {

namespace {

constexpr double s_factor = 1.5;
constexpr double s_slack = 5;

}

void RateLimitJudge::note_stated(std::string const& server, std::optional<double> rate, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_servers[server].statements.push_back({now, rate});
}

void RateLimitJudge::note_passed_on(std::string const& server, std::string const& gateway, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_servers[server].passed_on[gateway].push_back(now);
}

void RateLimitJudge::note_arrival(std::string const& server, std::string const& gateway, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_servers[server].arrivals.push_back({now, gateway});
}

void RateLimitJudge::note_disturbance(std::string const& gateway, Core::MonotonicTime begin, Core::MonotonicTime end)
{
    std::lock_guard const lock(m_mutex);
    m_disturbances[gateway].push_back({begin, end});
}

void RateLimitJudge::note_restart(std::string const& gateway, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_restarts[gateway].push_back(now);
}

std::vector<RateLimitJudge::Term> RateLimitJudge::terms_of(Server const& server)
{
    std::vector<Term> terms;
    bool is_open = false;
    for (auto const& statement : server.statements) {
        if (!statement.rate && is_open)
            terms.back().span.end = statement.time;
        if (statement.rate && !is_open)
            terms.push_back({{statement.time, Core::MonotonicTime::max()}, {}});
        if (statement.rate)
            terms.back().rates.push_back(statement);
        is_open = statement.rate.has_value();
    }
    return terms;
}

double RateLimitJudge::highest_rate(Term const& term, Span const& window)
{
    double highest = 0;
    for (std::size_t index = 0; index < term.rates.size(); ++index) {
        auto const ends = index + 1 < term.rates.size() ? term.rates[index + 1].time : term.span.end;
        if (ends > window.begin && term.rates[index].time <= window.end)
            highest = std::max(highest, *term.rates[index].rate);
    }
    return highest;
}

bool RateLimitJudge::is_disturbed(Arrival const& arrival) const
{
    auto const found = m_disturbances.find(arrival.gateway);
    return found != m_disturbances.end() && std::ranges::any_of(found->second, [&](auto const& span) {
        return span.begin <= arrival.time && arrival.time <= span.end + m_contact_time;
    });
}

bool RateLimitJudge::is_bound(Server const& server, Term const& term, Arrival const& arrival) const
{
    auto const passed_on = server.passed_on.find(arrival.gateway);
    if (passed_on == server.passed_on.end())
        return false;
    auto bound_since = term.span.begin;
    if (auto const restarts = m_restarts.find(arrival.gateway); restarts != m_restarts.end()) {
        for (auto const restart : restarts->second) {
            if (restart <= arrival.time)
                bound_since = std::max(bound_since, restart);
        }
    }
    return std::ranges::any_of(
        passed_on->second, [&](auto const time) { return time >= bound_since && time + s_notice <= arrival.time; });
}

std::vector<Core::MonotonicTime> RateLimitJudge::counted_arrivals(Server const& server, Term const& term) const
{
    std::vector<Core::MonotonicTime> counted;
    for (auto const& arrival : server.arrivals) {
        bool const is_in_term = arrival.time >= term.span.begin && arrival.time < term.span.end;
        if (is_in_term && is_bound(server, term, arrival) && !is_disturbed(arrival))
            counted.push_back(arrival.time);
    }
    std::ranges::sort(counted);
    return counted;
}

std::vector<std::string> RateLimitJudge::findings() const
{
    std::lock_guard const lock(m_mutex);
    std::vector<std::string> findings;
    for (auto const& [name, server] : m_servers) {
        for (auto const& term : terms_of(server)) {
            auto const arrivals = counted_arrivals(server, term);
            std::size_t first = 0;
            for (std::size_t last = 0; last < arrivals.size(); ++last) {
                while (arrivals[first] <= arrivals[last] - s_window)
                    ++first;
                if (arrivals[last] < term.span.begin + m_contact_time)
                    continue;
                auto const rate = highest_rate(term, {arrivals[last] - s_window, arrivals[last]});
                auto const seconds = std::chrono::duration<double>(s_window).count();
                auto const allowed = s_factor * rate * seconds + s_slack;
                auto const count = last - first + 1;
                if (static_cast<double>(count) <= allowed)
                    continue;
                findings.push_back(Core::concat("LIMIT: ", name, ", with a limit of ", rate, " a second, got ", count,
                    " requests in 4 s, ", Core::elapsed(term.span.begin, arrivals[last]).count(),
                    " ms after it had stated it; allowed ", allowed));
                // One finding a term: the windows beside it show the same.
                break;
            }
        }
    }
    return findings;
}

std::size_t RateLimitJudge::counted() const
{
    std::lock_guard const lock(m_mutex);
    std::size_t sum = 0;
    for (auto const& [name, server] : m_servers) {
        for (auto const& term : terms_of(server))
            sum += counted_arrivals(server, term).size();
    }
    return sum;
}

}
