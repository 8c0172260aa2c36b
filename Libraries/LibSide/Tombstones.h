#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/Work.h>

#include <cstddef>
#include <deque>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace GraniteField::Side {

/// Attempts that this process has promised never to run, though their dispatch may still be on its way.
/// Kept for longer than a dispatch can stay in a connection that its entry has given up; the oldest give
/// way when there are too many.
class Tombstones {
public:
    static constexpr Core::Milliseconds s_hold {120'000};
    static constexpr std::size_t s_largest_count = 65'536;

    void add(Policy::AttemptKey const& key, Core::MonotonicTime now)
    {
        if (!m_keys.insert(key).second)
            return;
        m_by_age.emplace_back(now, key);
        while (m_by_age.size() > s_largest_count || m_by_age.front().first + s_hold < now) {
            m_keys.erase(m_by_age.front().second);
            m_by_age.pop_front();
        }
    }

    [[nodiscard]] bool contains(Policy::AttemptKey const& key) const { return m_keys.contains(key); }
    [[nodiscard]] std::size_t count() const { return m_keys.size(); }

private:
    absl::flat_hash_set<Policy::AttemptKey> m_keys;
    std::deque<std::pair<Core::MonotonicTime, Policy::AttemptKey>> m_by_age;
};

}
