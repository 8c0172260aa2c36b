#include <LibPolicy/ColdShares.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace GraniteField::Policy {

namespace {

/// Number of servers whose last request is remembered, and for how long. No server stays cold as long as that.
constexpr std::size_t s_max_remembered_servers = 16'384;
constexpr Core::Milliseconds s_retention {60'000};

}

void ColdShares::set_gateways(std::uint64_t self, std::vector<std::uint64_t> peers)
{
    m_ranks.set(self, std::move(peers));
}

std::size_t ColdShares::senders_for(Rate rate)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(rate));
}

std::chrono::duration<double> ColdShares::min_interval(Rate rate)
{
    return std::chrono::duration<double>(1 / std::min(1.0, rate));
}

bool ColdShares::may_send(std::uint64_t server, Rate rate, Core::MonotonicTime now) const
{
    if (!m_ranks.is_known() || rate <= 0)
        return false;
    auto const last = m_last_sent.find(server);
    if (last != m_last_sent.end() && now - last->second < min_interval(rate))
        return false;
    return m_ranks.rank_for(server) < senders_for(rate);
}

void ColdShares::note_sent(std::uint64_t server, Core::MonotonicTime now)
{
    if (m_last_sent.size() >= s_max_remembered_servers)
        absl::erase_if(m_last_sent, [now](auto const& item) { return Core::elapsed(item.second, now) > s_retention; });
    m_last_sent[server] = now;
}

}
