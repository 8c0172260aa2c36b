#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <random>

namespace GraniteField::Core {

/// Waits between tries, longer after each failure, that another thread can end. The waits are spread, so
/// that many processes that lost the platform together do not come back to it together.
class Backoff {
public:
    Backoff(Core::Milliseconds shortest, Core::Milliseconds longest)
        : m_shortest(shortest)
        , m_longest(longest)
        , m_next(shortest)
    {
    }

    void reset() { m_next = m_shortest; }

    /// Waits after a failure.
    void wait_after_failure() { wait_after_failure(m_longest); }

    /// The same with another longest wait.
    void wait_after_failure(Core::Milliseconds longest)
    {
        std::uniform_int_distribution<std::int64_t> spread(m_next.count() / 2, m_next.count());
        wait(Core::Milliseconds(spread(m_generator)));
        m_next = std::min(m_next * 2, longest);
    }

    void wait(Core::Milliseconds duration)
    {
        std::unique_lock lock(m_mutex);
        m_signal.wait_for(lock, duration, [this] { return m_is_stopped; });
    }

    /// Ends the present wait and makes all later ones end at once. Any thread.
    void stop()
    {
        std::lock_guard const lock(m_mutex);
        m_is_stopped = true;
        m_signal.notify_all();
    }

    [[nodiscard]] bool is_stopped()
    {
        std::lock_guard const lock(m_mutex);
        return m_is_stopped;
    }

private:
    Core::Milliseconds m_shortest;
    Core::Milliseconds m_longest;
    Core::Milliseconds m_next;
    std::mt19937 m_generator {std::random_device {}()};
    std::mutex m_mutex;
    std::condition_variable m_signal;
    bool m_is_stopped {false};
};

}
