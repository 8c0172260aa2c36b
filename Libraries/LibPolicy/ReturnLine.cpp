#include <LibPolicy/ReturnLine.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace GraniteField::Policy {

namespace {

/// Rate of admissions, per second, assumed while none were observed: a line must move on.
constexpr double s_min_rate = 1;

std::int64_t interval_of(Core::MonotonicTime time)
{
    return time.time_since_epoch() / ReturnLine::s_interval;
}

}

ReturnLine::Key ReturnLine::key_of(std::string const& service, AdmissionClass admission_class)
{
    admission_class.arrival = Arrival::New;
    return {service, admission_class};
}

void ReturnLine::note_admitted(std::string const& service, AdmissionClass admission_class, Core::MonotonicTime now)
{
    m_lines[key_of(service, admission_class)].admitted.add(1, now);
}

std::optional<Core::Milliseconds> ReturnLine::next_delay(std::string const& service, AdmissionClass admission_class,
    Core::Milliseconds min_delay, Core::Milliseconds max_delay, Core::MonotonicTime now)
{
    auto& line = m_lines[key_of(service, admission_class)];
    std::chrono::duration<double> const interval = s_interval;
    auto const rate = std::max(s_min_rate, line.admitted.per_second(now) * s_returning_fraction);
    auto const capacity = static_cast<unsigned>(std::ceil(rate * interval.count()));
    auto const earliest = now + min_delay;
    auto const latest = now + max_delay;
    line.given.erase(line.given.begin(), line.given.lower_bound(interval_of(now)));
    for (auto number = interval_of(earliest); number <= interval_of(latest); ++number) {
        auto& given = line.given[number];
        if (given >= capacity)
            continue;
        // Spreads the returning callers over the interval.
        auto const start = Core::MonotonicTime(s_interval * number);
        auto const due = std::max(earliest, start + s_interval * given / capacity);
        if (due > latest)
            return std::nullopt;
        ++given;
        return std::chrono::ceil<Core::Milliseconds>(due - now);
    }
    return std::nullopt;
}

void ReturnLine::insert(Place const& place)
{
    auto& due = m_places[place.request];
    due = std::max(due, place.due);
    m_order.push_back(place);
    while (m_places.size() > s_max_places || m_order.size() > 2 * s_max_places) {
        m_places.erase(m_order.front().request);
        m_order.pop_front();
    }
}

void ReturnLine::add(Fingerprint request, Core::MonotonicTime due)
{
    insert({request, due});
    if (m_unreported.size() < s_max_reported)
        m_unreported.push_back({request, due});
}

bool ReturnLine::claim(Fingerprint request, Core::MonotonicTime now)
{
    auto const found = m_places.find(request);
    if (found == m_places.end() || now < found->second - s_earliness)
        return false;
    bool const is_in_time = now <= found->second + s_grace;
    m_places.erase(found);
    m_claimed_count += is_in_time ? 1 : 0;
    return is_in_time;
}

std::vector<ReturnLine::Place> ReturnLine::take_unreported()
{
    return std::exchange(m_unreported, {});
}

void ReturnLine::forget_expired(Core::MonotonicTime now)
{
    while (!m_order.empty() && m_order.front().due + s_grace < now) {
        auto const found = m_places.find(m_order.front().request);
        if (found != m_places.end() && found->second <= m_order.front().due)
            m_places.erase(found);
        m_order.pop_front();
    }
}

}
