#include <LibGateway/SuspectedCrashes.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace GraniteField::Gateway {

SuspectedCrashes::Suspect& SuspectedCrashes::suspect(
    Policy::CrashWitness const& witness, Core::MonotonicTime listed_since)
{
    auto& suspect = m_suspects[witness.server.incarnation];
    suspect.server = {witness.server, listed_since};
    return suspect;
}

SuspectedCrashes::Step SuspectedCrashes::add(
    Policy::CrashWitness const& witness, Core::MonotonicTime listed_since, Core::MonotonicTime now)
{
    absl::erase_if(
        m_crashed, [now](auto const& item) { return Core::elapsed(item.second, now) > s_late_break_window; });
    if (m_crashed.contains(witness.server.incarnation))
        return Step::Count;
    auto& server = suspect(witness, listed_since);
    if (server.broken.size() < s_max_requests_per_server)
        server.broken.push_back(witness);
    return std::exchange(server.is_probed, true) ? Step::AwaitProbe : Step::ProbeServer;
}

void SuspectedCrashes::add_ended(Policy::CrashWitness const& witness, Core::MonotonicTime listed_since)
{
    auto& server = suspect(witness, listed_since);
    if (server.ended.size() < s_max_requests_per_server)
        server.ended.push_back(witness);
}

std::vector<Policy::CrashWitness> SuspectedCrashes::confirm(std::uint64_t life, Core::MonotonicTime now)
{
    m_crashed[life] = now;
    auto const found = m_suspects.extract(life);
    if (found.empty())
        return {};
    auto witnesses = std::move(found.mapped().broken);
    std::ranges::move(found.mapped().ended, std::back_inserter(witnesses));
    return witnesses;
}

void SuspectedCrashes::note_not_refused(std::uint64_t life)
{
    auto const found = m_suspects.find(life);
    if (found != m_suspects.end())
        found->second.is_probed = false;
}

std::vector<SuspectedCrashes::Server> SuspectedCrashes::servers() const
{
    std::vector<Server> servers;
    for (auto const& [life, suspect] : m_suspects)
        servers.push_back(suspect.server);
    return servers;
}

std::size_t SuspectedCrashes::count_requests(std::uint64_t life) const
{
    auto const found = m_suspects.find(life);
    return found == m_suspects.end() ? 0 : found->second.broken.size() + found->second.ended.size();
}

std::vector<Policy::CrashWitness> SuspectedCrashes::take_ended(Core::MonotonicTime now)
{
    auto const is_old
        = [now](auto const& witness) { return Core::elapsed(witness.crashed, now) > s_replacement_window; };
    std::vector<Policy::CrashWitness> ended;
    for (auto& [life, suspect] : m_suspects) {
        if (!suspect.is_probed)
            std::erase_if(suspect.broken, is_old);
        auto const old = std::ranges::stable_partition(suspect.ended, std::not_fn(is_old));
        std::ranges::move(old, std::back_inserter(ended));
        suspect.ended.erase(old.begin(), old.end());
    }
    absl::erase_if(
        m_suspects, [](auto const& item) { return item.second.broken.empty() && item.second.ended.empty(); });
    return ended;
}

}
