#include <LibPolicy/ColdShares.h>

#include <LibCore/Hashing.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace GraniteField::Policy {

namespace {

/// Servers that are remembered, and for how long: longer than any server stays cold.
constexpr std::size_t s_most_remembered = 16'384;
constexpr Core::Milliseconds s_memory {60'000};

}

void ColdShares::set_gateways(std::uint64_t self, std::vector<std::uint64_t> others)
{
    m_self = self;
    m_others = std::move(others);
    m_ranks.clear();
    m_is_acquainted = true;
}

std::size_t ColdShares::senders_for(Rate rate)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(rate));
}

std::chrono::duration<double> ColdShares::interval(Rate rate)
{
    return std::chrono::duration<double>(1 / std::min(1.0, rate));
}

std::size_t ColdShares::rank_for(std::uint64_t server) const
{
    if (auto const known = m_ranks.find(server); known != m_ranks.end())
        return known->second;
    if (m_ranks.size() >= s_most_remembered)
        m_ranks.clear();
    auto const own = Core::mix(m_self, server);
    auto const before = std::ranges::count_if(m_others, [&](auto other) { return Core::mix(other, server) > own; });
    return m_ranks[server] = static_cast<std::size_t>(before);
}

bool ColdShares::may_send(std::uint64_t server, Rate rate, Core::MonotonicTime now) const
{
    if (!m_is_acquainted || rate <= 0)
        return false;
    auto const last = m_last_sent.find(server);
    if (last != m_last_sent.end() && now - last->second < interval(rate))
        return false;
    return rank_for(server) < senders_for(rate);
}

void ColdShares::note_sent(std::uint64_t server, Core::MonotonicTime now)
{
    if (m_last_sent.size() >= s_most_remembered)
        absl::erase_if(m_last_sent, [now](auto const& item) { return Core::elapsed(item.second, now) > s_memory; });
    m_last_sent[server] = now;
}

}
