#include <LibEntry/PeerView.h>

#include <LibCore/Hashing.h>

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace GraniteField::Entry {

void PeerView::note(Peer peer)
{
    if (peer.name == m_self.name || peer.name.empty() || peer.address.empty())
        return;
    auto const found = m_peers.find(peer.name);
    if (found != m_peers.end()) {
        if (peer.last_heard < found->second.last_heard)
            return;
        bool const has_changed = peer.address != found->second.address
            || peer.load_address != found->second.load_address || peer.group != found->second.group
            || peer.processor_permille != found->second.processor_permille;
        found->second = std::move(peer);
        m_generation += has_changed ? 1 : 0;
        return;
    }
    if (m_peers.size() >= s_max_peers)
        return;
    m_peers.emplace(peer.name, std::move(peer));
    ++m_generation;
}

void PeerView::remove_timed_out(Core::MonotonicTime now)
{
    auto const count
        = std::erase_if(m_peers, [now](auto const& item) { return item.second.last_heard + s_peer_timeout < now; });
    m_generation += count > 0 ? 1 : 0;
}

std::vector<Peer> PeerView::neighbours() const
{
    std::vector<std::pair<std::uint64_t, Peer const*>> ring;
    ring.reserve(m_peers.size());
    auto const own_position = Core::hash_bytes(m_self.name);
    for (auto const& [name, peer] : m_peers)
        ring.emplace_back(Core::hash_bytes(name) - own_position, &peer);
    std::ranges::sort(ring, {}, [](auto const& item) { return item.first; });
    std::vector<Peer> neighbours;
    for (std::size_t distance = 1; distance <= ring.size(); distance *= 2)
        neighbours.push_back(*ring[distance - 1].second);
    return neighbours;
}

namespace {

LoadMember to_load_member(Peer const& peer)
{
    return {peer.load_address, peer.group, peer.processor_permille, Core::hash_bytes(peer.name)};
}

}

std::vector<Peer> PeerView::preferred_relays(std::size_t count) const
{
    std::vector<Peer> relays;
    for (auto const& [name, peer] : m_peers) {
        if (peer.group == m_self.group && !peer.load_address.empty())
            relays.push_back(peer);
    }
    std::ranges::sort(relays, relays_before, to_load_member);
    relays.resize(std::min(count, relays.size()));
    return relays;
}

LoadMembers PeerView::load_members() const
{
    LoadMembers members {to_load_member(m_self), {}};
    for (auto const& [name, peer] : m_peers) {
        if (!peer.load_address.empty())
            members.peers.push_back(to_load_member(peer));
    }
    return members;
}

std::vector<Peer> PeerView::sample(std::size_t count)
{
    std::vector<Peer> chosen;
    auto next = m_peers.upper_bound(m_last_sampled);
    for (std::size_t taken = 0; taken < std::min(count, m_peers.size()); ++taken) {
        if (next == m_peers.end())
            next = m_peers.begin();
        chosen.push_back(next->second);
        m_last_sampled = next->first;
        ++next;
    }
    return chosen;
}

bool PeerView::should_watch() const
{
    // An entry that cannot reach the platform ranks last and keeps trying. Hosts with more processor time rank first: a
    // watcher decodes whole configurations, which is slow on a small host and delays the update for all peers.
    auto const rank = [](Peer const& peer) {
        return std::tuple(peer.is_platform_reachable ? 0 : 1,
            std::numeric_limits<unsigned>::max() - peer.processor_permille, Core::hash_bytes(peer.name));
    };
    auto const own_rank = rank(m_self);
    auto const preceding = std::ranges::count_if(
        m_peers, [&](auto const& item) { return item.second.group == m_self.group && rank(item.second) < own_rank; });
    return static_cast<std::size_t>(preceding) < s_watchers_per_group;
}

}
