#include <LibGateway/SuspicionLedger.h>

#include <algorithm>

namespace GraniteField::Gateway {

bool SuspicionLedger::note_break(std::uint64_t server, Core::MonotonicTime now)
{
    auto& breaks = m_breaks[server];
    std::erase_if(breaks, [now](auto const& item) { return Core::elapsed(item.time, now) > s_window; });
    breaks.push_back({0, now});
    if (breaks.size() < s_breaks_to_suspect)
        return false;
    breaks.clear();
    return true;
}

bool SuspicionLedger::note_other_domain(std::uint64_t server, std::uint64_t relay, Core::MonotonicTime now)
{
    auto& words = m_other_domains[server];
    std::erase_if(
        words, [&](auto const& item) { return item.source == relay || Core::elapsed(item.time, now) > s_word_memory; });
    words.push_back({relay, now});
    return words.size() >= s_other_domains;
}

void SuspicionLedger::forget_old(Core::MonotonicTime now)
{
    forget_old(m_breaks, s_window, now);
    forget_old(m_other_domains, s_word_memory, now);
}

void SuspicionLedger::forget_old(Words& words, Core::Milliseconds memory, Core::MonotonicTime now)
{
    absl::erase_if(words,
        [&](auto const& item) { return item.second.empty() || Core::elapsed(item.second.back().time, now) > memory; });
}

}
