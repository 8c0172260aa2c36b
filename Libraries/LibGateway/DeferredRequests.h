#pragma once

#include <LibCore/Time.h>
#include <LibGateway/CallerConnection.h>
#include <LibHTTP/RequestParser.h>

#include <algorithm>
#include <cstddef>
#include <list>
#include <memory>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// A request as received.
struct DeferredRequest {
    std::shared_ptr<CallerConnection> caller;
    HTTP::RequestHead head;
    RequestBody body;
    Core::MonotonicTime received;
    /// Time at which it is refused if no suitable table has arrived.
    Core::MonotonicTime deadline;
};

/// Requests that wait for a table: those received before the first one, and those refused by a table that is known to
/// be outdated. A gateway that starts receives its first table within some hundred milliseconds, from its peers or the
/// store; refusing requests meanwhile would turn away callers that retry only once. For use by one thread.
class DeferredRequests {
public:
    /// Longer than a start takes. A gateway without a table by then may lack one for long.
    static constexpr Core::Milliseconds s_max_wait {500};
    /// Part of the caller's timeout for which a request may wait. A caller with a timeout of some hundred milliseconds
    /// needs the rest to try another gateway.
    static constexpr int s_caller_timeout_parts = 4;
    static constexpr std::size_t s_max_count = 500;

    /// Returns the longest wait of a request whose caller has this timeout in all.
    [[nodiscard]] static Core::Milliseconds wait_limit(Core::Milliseconds caller_timeout)
    {
        return std::min(s_max_wait, caller_timeout / s_caller_timeout_parts);
    }

    [[nodiscard]] bool is_full() const { return m_requests.size() >= s_max_count; }
    [[nodiscard]] bool is_empty() const { return m_requests.empty(); }

    void add(DeferredRequest request) { m_requests.push_back(std::move(request)); }

    /// Removes and returns all requests in order of arrival, except those whose callers have disconnected.
    [[nodiscard]] std::list<DeferredRequest> take_all() { return without_disconnected(std::exchange(m_requests, {})); }

    /// Removes and returns the requests whose deadline has passed, except those whose callers have disconnected.
    [[nodiscard]] std::list<DeferredRequest> take_expired(Core::MonotonicTime now)
    {
        std::list<DeferredRequest> expired;
        for (auto request = m_requests.begin(); request != m_requests.end();) {
            auto const candidate = request++;
            if (now >= candidate->deadline)
                expired.splice(expired.end(), m_requests, candidate);
        }
        return without_disconnected(std::move(expired));
    }

private:
    static std::list<DeferredRequest> without_disconnected(std::list<DeferredRequest> requests)
    {
        std::erase_if(requests, [](auto const& request) { return request.caller->is_closed(); });
        return requests;
    }

    std::list<DeferredRequest> m_requests;
};

}
