#include <LibPolicy/LimitShares.h>

#include <LibCore/Hashing.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace GraniteField::Policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Senders in addition to one for each request per second. They use a limit whose other senders have no requests, and
/// make all gateways of a small fleet senders.
constexpr std::size_t s_extra_senders = 3;
/// Lower limits, including 0, are treated as this one, in requests per second: only an answer shows that a limit has
/// ended.
constexpr double s_min_rate = 0.1;
/// Higher rates limit nothing, and intervals must stay representable.
constexpr double s_max_rate = 1e9;
/// Burst of a sender, expressed as the time in which its share allows that many requests.
constexpr Seconds s_burst_time {0.5};
/// Minimum length of a term.
constexpr Seconds s_min_term {5};
/// Number of terms that are searched for one in which this gateway is a sender.
constexpr std::int64_t s_max_terms_ahead = 32;
constexpr std::size_t s_max_remembered_servers = 16'384;

Core::MonotonicTime::duration to_ticks(Seconds seconds)
{
    return std::chrono::duration_cast<Core::MonotonicTime::duration>(seconds);
}

}

void LimitShares::set_gateways(std::uint64_t self, std::vector<std::uint64_t> peers)
{
    m_ranks.set(self, std::move(peers));
}

std::chrono::duration<double> LimitShares::mean_interval(double rate)
{
    return Seconds(1 / std::max(rate, s_min_rate));
}

std::size_t LimitShares::senders_for(double rate, std::size_t gateways)
{
    auto const wanted = std::floor(rate) + s_extra_senders;
    return wanted < static_cast<double>(gateways) ? static_cast<std::size_t>(wanted) : gateways;
}

LimitShares::Division LimitShares::divide(double rate) const
{
    auto const bounded_rate = std::clamp(rate, s_min_rate, s_max_rate);
    Division division;
    division.senders = senders_for(bounded_rate, m_ranks.count());
    division.interval = Seconds(static_cast<double>(division.senders) / bounded_rate);
    division.tolerance = std::max(Seconds(0), s_burst_time - division.interval);
    division.term = division.interval * std::ceil(s_min_term / division.interval);
    return division;
}

std::size_t LimitShares::rank_in(std::uint64_t server, Division const& division, std::int64_t term) const
{
    // If all gateways are senders, shares do not depend on the term.
    bool const are_all_senders = division.senders == m_ranks.count();
    return m_ranks.rank_for(are_all_senders ? server : Core::mix(server, static_cast<std::uint64_t>(term)));
}

Core::MonotonicTime LimitShares::start_of(SharedRateLimit const& limit, Division const& division, std::int64_t term)
{
    return limit.since + to_ticks(division.term * static_cast<double>(term));
}

Core::MonotonicTime LimitShares::first_send_in(
    std::uint64_t server, SharedRateLimit const& limit, Division const& division, std::int64_t term) const
{
    auto const rank = rank_in(server, division, term);
    auto const end = start_of(limit, division, term + 1);
    if (rank >= division.senders)
        return end;
    auto time = start_of(limit, division, term);
    // Senders whose term begins at the same time are staggered.
    bool const is_new_sender = term == 0 || rank_in(server, division, term - 1) >= division.senders;
    if (is_new_sender)
        time += to_ticks(division.interval * static_cast<double>(rank) / static_cast<double>(division.senders));
    if (auto const due = m_next_due.find(server); due != m_next_due.end())
        time = std::max(time, due->second - to_ticks(division.tolerance));
    return std::min(time, end);
}

Core::MonotonicTime LimitShares::next_send(
    std::uint64_t server, SharedRateLimit const& limit, Core::MonotonicTime now) const
{
    if (!m_ranks.is_known())
        return Core::MonotonicTime::max();
    auto const division = divide(limit.rate);
    Seconds const elapsed = now - limit.since;
    auto const current = std::max<std::int64_t>(0, static_cast<std::int64_t>(std::floor(elapsed / division.term)));
    for (auto term = current; term <= current + s_max_terms_ahead; ++term) {
        auto const time = std::max(now, first_send_in(server, limit, division, term));
        if (time < start_of(limit, division, term + 1))
            return time;
    }
    return start_of(limit, division, current + s_max_terms_ahead);
}

void LimitShares::note_sent(std::uint64_t server, SharedRateLimit const& limit, Core::MonotonicTime now)
{
    if (m_next_due.size() >= s_max_remembered_servers)
        absl::erase_if(m_next_due, [now](auto const& item) { return item.second < now; });
    auto& due = m_next_due[server];
    due = std::max(due, now) + to_ticks(divide(limit.rate).interval);
}

}
