#include <LibGateway/CrashDoubts.h>

namespace GraniteField::Gateway {

CrashDoubts::Step CrashDoubts::add(Policy::CrashWitness const& witness, Core::MonotonicTime now)
{
    absl::erase_if(m_crashed, [now](auto const& item) { return Core::elapsed(item.second, now) > s_late_reading; });
    auto const life = witness.server.incarnation;
    if (m_crashed.contains(life))
        return Step::Count;
    auto& doubts = m_doubts[life];
    doubts.push_back(witness);
    return doubts.size() == 1 ? Step::AskServer : Step::Wait;
}

std::vector<Policy::CrashWitness> CrashDoubts::note_refused(std::uint64_t life, Core::MonotonicTime now)
{
    m_crashed[life] = now;
    auto doubts = m_doubts.extract(life);
    return doubts.empty() ? std::vector<Policy::CrashWitness>() : std::move(doubts.mapped());
}

}
