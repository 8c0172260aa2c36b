#include <LibGateway/SuspectedCrashes.h>

namespace GraniteField::Gateway {

SuspectedCrashes::Step SuspectedCrashes::add(Policy::CrashWitness const& witness, Core::MonotonicTime now)
{
    absl::erase_if(
        m_crashed, [now](auto const& item) { return Core::elapsed(item.second, now) > s_late_break_window; });
    auto const life = witness.server.life;
    if (m_crashed.contains(life))
        return Step::Count;
    auto& witnesses = m_unconfirmed[life];
    witnesses.push_back(witness);
    return witnesses.size() == 1 ? Step::ProbeServer : Step::AwaitProbe;
}

std::vector<Policy::CrashWitness> SuspectedCrashes::note_refused(std::uint64_t life, Core::MonotonicTime now)
{
    m_crashed[life] = now;
    auto witnesses = m_unconfirmed.extract(life);
    return witnesses.empty() ? std::vector<Policy::CrashWitness>() : std::move(witnesses.mapped());
}

}
