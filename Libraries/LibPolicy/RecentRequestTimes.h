#pragma once

#include <LibCore/RequestDigest.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Maps requests to the time of an event, for a limited number of requests. The oldest entries are dropped first.
class RecentRequestTimes {
public:
    explicit RecentRequestTimes(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    [[nodiscard]] bool is_empty() const { return m_times.empty(); }
    [[nodiscard]] std::optional<Core::MonotonicTime> find(Core::RequestDigest const& digest) const
    {
        auto const found = m_times.find(digest);
        return found == m_times.end() ? std::nullopt : std::optional(found->second);
    }

    /// Records a time; later times replace earlier ones.
    void note(Core::RequestDigest const& digest, Core::MonotonicTime time)
    {
        auto& last = m_times[digest];
        if (last != Core::MonotonicTime() && time <= last)
            return;
        last = time;
        m_order.emplace_back(digest, time);
        while (m_times.size() > m_capacity || m_order.size() > 2 * m_capacity)
            forget_oldest();
    }

    /// Drops entries that are older.
    void forget_before(Core::MonotonicTime time)
    {
        while (!m_order.empty() && m_order.front().second < time)
            forget_oldest();
    }

private:
    void forget_oldest()
    {
        auto const [digest, time] = m_order.front();
        m_order.pop_front();
        auto const found = m_times.find(digest);
        // A later time of the same request has its own entry further back.
        if (found != m_times.end() && found->second == time)
            m_times.erase(found);
    }

    std::size_t m_capacity;
    absl::flat_hash_map<Core::RequestDigest, Core::MonotonicTime> m_times;
    std::deque<std::pair<Core::RequestDigest, Core::MonotonicTime>> m_order;
};

}
