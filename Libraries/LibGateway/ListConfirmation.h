#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedServers.h>
#include <LibGateway/StreamOrigins.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// Passes the gateway's requests to confirm its list of servers to the thread that asks the store, and the results
/// back. Thread-safe.
class ListConfirmation {
public:
    struct Result {
        /// The list of this revision, together with `served`, names all servers that were in the store at that time.
        Core::MonotonicTime as_of;
        Entry::ListRevision revision;
        /// Services and versions of servers that were entered or changed after that revision.
        std::vector<StreamOrigin> served;
    };

    /// Requests a result that holds at that time or later. To be repeated until there is one.
    void request(Core::MonotonicTime as_of)
    {
        {
            std::lock_guard const lock(m_mutex);
            m_wanted = std::max(m_wanted, std::optional(as_of));
        }
        m_signal.notify_all();
    }
    [[nodiscard]] std::vector<Result> take_results()
    {
        std::lock_guard const lock(m_mutex);
        return std::exchange(m_results, {});
    }

    /// Returns whether there is a request, and forgets it.
    [[nodiscard]] bool take_request()
    {
        std::lock_guard const lock(m_mutex);
        return take_request_locked();
    }
    /// Blocks until there is a request, and forgets it. Returns false once stopped.
    [[nodiscard]] bool wait_for_request()
    {
        std::unique_lock lock(m_mutex);
        m_signal.wait(lock, [this] { return m_is_stopped || take_request_locked(); });
        return !m_is_stopped;
    }
    void confirm(Result result)
    {
        std::lock_guard const lock(m_mutex);
        m_confirmed = std::max(m_confirmed, std::optional(result.as_of));
        m_results.push_back(std::move(result));
    }

    /// Blocks for that time, or until stopped.
    void pause(Core::Milliseconds time)
    {
        std::unique_lock lock(m_mutex);
        m_signal.wait_for(lock, time, [this] { return m_is_stopped; });
    }
    void stop()
    {
        {
            std::lock_guard const lock(m_mutex);
            m_is_stopped = true;
        }
        m_signal.notify_all();
    }

private:
    [[nodiscard]] bool take_request_locked()
    {
        auto const wanted = std::exchange(m_wanted, std::nullopt);
        return wanted && wanted > m_confirmed;
    }

    std::mutex m_mutex;
    std::condition_variable m_signal;
    std::optional<Core::MonotonicTime> m_wanted;
    std::optional<Core::MonotonicTime> m_confirmed;
    std::vector<Result> m_results;
    bool m_is_stopped {false};
};

}
