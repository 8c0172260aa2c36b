#include <LibPolicy/GatewayRanks.h>

#include <LibCore/Hashing.h>

#include <algorithm>
#include <utility>

namespace GraniteField::Policy {

namespace {

constexpr std::size_t s_max_cached_ranks = 16'384;

}

void GatewayRanks::set(std::uint64_t self, std::vector<std::uint64_t> peers)
{
    m_self = self;
    m_peers = std::move(peers);
    m_ranks.clear();
    m_is_known = true;
}

std::size_t GatewayRanks::rank_for(std::uint64_t key) const
{
    if (auto const cached = m_ranks.find(key); cached != m_ranks.end())
        return cached->second;
    if (m_ranks.size() >= s_max_cached_ranks)
        m_ranks.clear();
    auto const own = Core::mix(m_self, key);
    auto const before = std::ranges::count_if(m_peers, [&](auto peer) { return Core::mix(peer, key) > own; });
    return m_ranks[key] = static_cast<std::size_t>(before);
}

}
