#include <LibGateway/SuspectedCrashes.h>

#include <algorithm>
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

bool SuspectedCrashes::add_ended(Policy::CrashWitness const& witness, Core::MonotonicTime listed_since)
{
    auto& server = suspect(witness, listed_since);
    if (server.ended.size() >= s_max_requests_per_server)
        return false;
    server.ended.push_back(witness);
    return true;
}

SuspectedCrashes::Crash SuspectedCrashes::confirm(
    std::uint64_t life, std::optional<Core::MonotonicTime> crashed, Core::MonotonicTime now)
{
    m_crashed[life] = now;
    auto const found = m_suspects.extract(life);
    if (found.empty())
        return {};
    auto& suspect = found.mapped();
    auto time = crashed.value_or(Core::MonotonicTime());
    for (auto const* witnesses : {&suspect.broken, &suspect.ended}) {
        for (auto const& witness : *witnesses)
            time = std::max(time, witness.crashed);
    }
    auto const is_earlier
        = [time](auto const& witness) { return Core::elapsed(witness.crashed, time) > s_late_break_window; };
    Crash crash;
    // The server outlived breaks that are earlier.
    std::ranges::remove_copy_if(suspect.broken, std::back_inserter(crash.witnesses), is_earlier);
    std::ranges::partition_copy(
        suspect.ended, std::back_inserter(crash.completed), std::back_inserter(crash.witnesses), is_earlier);
    return crash;
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
        std::ranges::copy_if(suspect.ended, std::back_inserter(ended), is_old);
        std::erase_if(suspect.ended, is_old);
    }
    absl::erase_if(
        m_suspects, [](auto const& item) { return item.second.broken.empty() && item.second.ended.empty(); });
    return ended;
}

}
