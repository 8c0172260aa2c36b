#include <LibCluster/FleetClock.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace GraniteField::Cluster {

FleetClock::Offset FleetClock::offset_of(WallTime time, Core::MonotonicTime now)
{
    return time.time_since_epoch() - std::chrono::duration_cast<Core::Milliseconds>(now.time_since_epoch());
}

void FleetClock::add_reading(std::uint64_t id, Reading reading, Core::MonotonicTime now)
{
    m_readings[id] = {offset_of(reading.time, now), std::max(1U, reading.hosts), reading.source, now};
}

std::optional<FleetClock::Reading> FleetClock::median(auto accepts, Core::MonotonicTime now) const
{
    std::vector<std::pair<Offset, unsigned>> offsets;
    unsigned hosts = 0;
    for (auto const& [id, reading] : m_readings) {
        if (!accepts(reading) || Core::elapsed(reading.received, now) > s_reading_lifetime)
            continue;
        offsets.emplace_back(reading.offset, reading.hosts);
        hosts += reading.hosts;
    }
    if (offsets.empty())
        return std::nullopt;
    std::ranges::sort(offsets);
    unsigned passed = 0;
    auto const middle = std::ranges::find_if(offsets, [&](auto const& item) {
        passed += item.second;
        return passed * 2 >= hosts;
    });
    auto const time = std::chrono::duration_cast<Core::Milliseconds>(now.time_since_epoch()) + middle->first;
    return Reading {WallTime(time), hosts, Source::Group};
}

std::optional<FleetClock::Reading> FleetClock::host_median(Core::MonotonicTime now) const
{
    return median([](KnownReading const& known) { return known.source == Source::Host; }, now);
}

void FleetClock::follow_readings(Core::MonotonicTime now)
{
    std::erase_if(
        m_readings, [now](auto const& item) { return Core::elapsed(item.second.received, now) > s_reading_lifetime; });
    if (auto const reading = median([](KnownReading const&) { return true; }, now))
        adopt(offset_of(reading->time, now), reading->hosts, now);
}

void FleetClock::follow_agreed_time(Reading agreed, Core::MonotonicTime now)
{
    adopt(offset_of(agreed.time, now), agreed.hosts, now);
}

void FleetClock::adopt(Offset offset, unsigned hosts, Core::MonotonicTime now)
{
    bool const is_settling = !m_agreed || Core::elapsed(m_started, now) <= s_settling_time;
    bool const has_majority = hosts >= m_agreed_hosts * s_majority_factor;
    if (is_settling || has_majority || std::chrono::abs(offset - *m_agreed) <= s_max_latency_error) {
        m_agreed = offset;
        m_agreed_hosts = has_majority ? hosts : std::max(m_agreed_hosts, hosts);
        m_differs_since.reset();
        return;
    }
    if (!m_differs_since)
        m_differs_since = now;
    if (Core::elapsed(*m_differs_since, now) < s_jump_confirmation_time)
        return;
    m_agreed = offset;
    m_differs_since.reset();
}

std::optional<WallTime> FleetClock::at(Core::MonotonicTime now) const
{
    if (!m_agreed)
        return std::nullopt;
    return WallTime(std::chrono::duration_cast<Core::Milliseconds>(now.time_since_epoch()) + *m_agreed);
}

}
