#pragma once

#include <LibCore/RequestDigest.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// When something was last known of requests, for so many of them; the one that is known for longest goes first.
class RecentDigests {
public:
    explicit RecentDigests(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    [[nodiscard]] bool is_empty() const { return m_times.empty(); }
    [[nodiscard]] std::optional<Core::MonotonicTime> find(Core::RequestDigest const& digest) const
    {
        auto const found = m_times.find(digest);
        return found == m_times.end() ? std::nullopt : std::optional(found->second);
    }

    /// A later time takes the place of an earlier one.
    void note(Core::RequestDigest const& digest, Core::MonotonicTime time)
    {
        auto& known = m_times[digest];
        if (known != Core::MonotonicTime() && time <= known)
            return;
        known = time;
        m_order.emplace_back(digest, time);
        while (m_times.size() > m_capacity || m_order.size() > 2 * m_capacity)
            forget_first();
    }

    /// Drops what is older.
    void forget_before(Core::MonotonicTime time)
    {
        while (!m_order.empty() && m_order.front().second < time)
            forget_first();
    }

private:
    void forget_first()
    {
        auto const [digest, time] = m_order.front();
        m_order.pop_front();
        auto const found = m_times.find(digest);
        // Noted again since: that later note stands further behind.
        if (found != m_times.end() && found->second == time)
            m_times.erase(found);
    }

    std::size_t m_capacity;
    absl::flat_hash_map<Core::RequestDigest, Core::MonotonicTime> m_times;
    std::deque<std::pair<Core::RequestDigest, Core::MonotonicTime>> m_order;
};

}
