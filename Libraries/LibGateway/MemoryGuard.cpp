#include <LibGateway/MemoryGuard.h>

#include <algorithm>

namespace GraniteField::Gateway {

MemoryGuard::MemoryGuard(Observe::EventLog& log, Observe::MetricRegistry& registry)
    : m_log(log)
    , m_refusals(registry.counter("granitefield_gateway_memory_refusals_total"))
{
    std::ranges::transform(s_memory_uses, m_gauges.begin(), [&registry](MemoryUse use) {
        return &registry.gauge("granitefield_gateway_held_bytes", {{"use", std::string(to_string(use))}});
    });
}

std::size_t MemoryGuard::limit_for(Rank rank) const
{
    auto const steps = std::max(rank.lowest_tier, 2U) - 1;
    auto const steps_below_first = std::min(std::max(rank.tier, 1U) - 1, steps);
    return m_limit - reserve() * steps_below_first / steps;
}

void MemoryGuard::note_refused(std::string const& request, std::size_t bytes)
{
    m_refusals.add();
    m_log.write(Observe::LogEvent("refused-for-memory")
                    .add("request", request)
                    .add("bytes", bytes)
                    .add("caller_buffers", m_account.held_for(MemoryUse::CallerBuffers))
                    .add("request_bodies", m_account.held_for(MemoryUse::RequestBodies))
                    .add("buffered_responses", m_account.held_for(MemoryUse::BufferedResponses))
                    .add("limit", m_limit));
}

void MemoryGuard::publish()
{
    for (std::size_t index = 0; index < m_gauges.size(); ++index)
        m_gauges.at(index)->set(static_cast<std::int64_t>(m_account.held_for(s_memory_uses.at(index))));
}

}
