#include "ConfigurationTrail.h"

#include <algorithm>

namespace GraniteField::Testing {

void ConfigurationTrail::note_sent(ConfigurationFacts facts, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    m_steps.push_back({std::move(facts), now, std::nullopt});
}

void ConfigurationTrail::note_acknowledged(unsigned version, Core::MonotonicTime now)
{
    std::lock_guard const lock(m_mutex);
    for (auto& step : m_steps) {
        if (step.facts.version == version)
            step.acknowledged = now;
    }
}

unsigned ConfigurationTrail::oldest_in_force(Core::MonotonicTime sent, Core::Milliseconds bound) const
{
    std::lock_guard const lock(m_mutex);
    unsigned oldest = 0;
    for (auto const& step : m_steps) {
        if (step.acknowledged && *step.acknowledged + bound < sent)
            oldest = std::max(oldest, step.facts.version);
    }
    return oldest;
}

bool ConfigurationTrail::agrees(ConfigurationFacts const& facts, Sighting const& sighting)
{
    switch (sighting.kind) {
    case Sighting::Kind::Path:
        return facts.paths.contains(sighting.name) == sighting.is_known;
    case Sighting::Kind::Key:
        return facts.keys.contains(sighting.name) == sighting.is_known;
    case Sighting::Kind::Service:
        return facts.moving_to == sighting.name;
    }
    return false;
}

std::optional<std::pair<unsigned, unsigned>> ConfigurationTrail::versions_of(
    Sighting const& sighting, unsigned oldest) const
{
    std::lock_guard const lock(m_mutex);
    std::optional<std::pair<unsigned, unsigned>> range;
    for (auto const& step : m_steps) {
        bool const is_possible
            = step.facts.version >= oldest && step.sent <= sighting.answered && agrees(step.facts, sighting);
        if (!is_possible)
            continue;
        if (!range)
            range = {step.facts.version, step.facts.version};
        range->second = step.facts.version;
    }
    return range;
}

Core::Milliseconds ConfigurationTrail::age(unsigned version, Core::MonotonicTime now) const
{
    std::lock_guard const lock(m_mutex);
    for (auto const& step : m_steps) {
        if (step.facts.version == version && step.acknowledged)
            return Core::elapsed(*step.acknowledged, now);
    }
    return Core::Milliseconds(0);
}

}
