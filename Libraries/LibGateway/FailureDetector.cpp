#include <LibGateway/FailureDetector.h>

#include <algorithm>

namespace GraniteField::Gateway {

bool FailureDetector::note_broken_answer(std::uint64_t server, Core::MonotonicTime now)
{
    auto& breaks = m_breaks[server];
    std::erase_if(breaks, [now](auto const& item) { return Core::elapsed(item.time, now) > s_break_window; });
    breaks.push_back({0, now});
    if (breaks.size() < s_min_breaks)
        return false;
    breaks.clear();
    return true;
}

bool FailureDetector::note_remote_suspicion(std::uint64_t server, std::uint64_t relay, Core::MonotonicTime now)
{
    auto& observations = m_remote_suspicions[server];
    std::erase_if(observations,
        [&](auto const& item) { return item.source == relay || Core::elapsed(item.time, now) > s_suspicion_expiry; });
    observations.push_back({relay, now});
    return observations.size() >= s_min_remote_domains;
}

void FailureDetector::remove_expired(Core::MonotonicTime now)
{
    remove_expired(m_breaks, s_break_window, now);
    remove_expired(m_remote_suspicions, s_suspicion_expiry, now);
}

void FailureDetector::remove_expired(Observations& observations, Core::Milliseconds expiry, Core::MonotonicTime now)
{
    absl::erase_if(observations,
        [&](auto const& item) { return item.second.empty() || Core::elapsed(item.second.back().time, now) > expiry; });
}

}
