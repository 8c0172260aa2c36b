#pragma once

#include <LibCore/Time.h>
#include <LibGateway/CallerConnection.h>
#include <LibHTTP/RequestParser.h>

#include <algorithm>
#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// A request as it was read.
struct DeferredRequest {
    std::shared_ptr<CallerConnection> caller;
    HTTP::RequestHead head;
    std::string body;
    Core::MonotonicTime received;
    /// When it is refused if there is no table by then.
    Core::MonotonicTime deadline;
};

/// Requests that came before the gateway had its first table. A gateway that begins has it some hundred milliseconds
/// later, from its peers or the store; refusing meanwhile would turn away callers who come back once only. For one
/// thread.
class DeferredRequests {
public:
    /// Longer than a start takes; a gateway without a table by then may be without one for long.
    static constexpr Core::Milliseconds s_max_wait {500};
    /// A caller who waits no longer than some hundred milliseconds in all needs time to go elsewhere.
    static constexpr int s_caller_timeout_parts = 4;
    static constexpr std::size_t s_max_count = 500;

    /// How long a request waits whose caller waits that long in all.
    [[nodiscard]] static Core::Milliseconds wait_limit(Core::Milliseconds caller_timeout)
    {
        return std::min(s_max_wait, caller_timeout / s_caller_timeout_parts);
    }

    [[nodiscard]] bool is_full() const { return m_requests.size() >= s_max_count; }
    [[nodiscard]] bool is_empty() const { return m_requests.empty(); }

    void add(DeferredRequest request) { m_requests.push_back(std::move(request)); }

    /// All of them, in the order in which they came; those whose callers have left are dropped.
    [[nodiscard]] std::list<DeferredRequest> take_all() { return without_gone(std::exchange(m_requests, {})); }

    /// Those that have waited long enough.
    [[nodiscard]] std::list<DeferredRequest> take_expired(Core::MonotonicTime now)
    {
        std::list<DeferredRequest> expired;
        for (auto request = m_requests.begin(); request != m_requests.end();) {
            auto const current = request++;
            if (now >= current->deadline)
                expired.splice(expired.end(), m_requests, current);
        }
        return without_gone(std::move(expired));
    }

private:
    static std::list<DeferredRequest> without_gone(std::list<DeferredRequest> requests)
    {
        std::erase_if(requests, [](auto const& request) { return request.caller->is_closed(); });
        return requests;
    }

    std::list<DeferredRequest> m_requests;
};

}
