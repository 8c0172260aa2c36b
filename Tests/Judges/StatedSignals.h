#pragma once

#include "RateLimitJudge.h"

#include <LibCore/Text.h>
#include <LibCore/Time.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace GraniteField::Testing {

/// The gateway that a request was sent to, by the request's id: callers write `GATEWAY-NUMBER`.
[[nodiscard]] inline std::string gateway_of(std::string const& request_id)
{
    return request_id.substr(0, request_id.find('-'));
}

/// What a test's backend server states about itself in its answers. Judges are told when it begins and ends, and what
/// reaches the server. Any thread.
class StatedSignals {
public:
    static constexpr char const* s_limit_field = "Server-Limit";

    StatedSignals(std::string instance, RateLimitJudge& limits)
        : m_instance(std::move(instance))
        , m_limits(limits)
    {
    }

    /// The server states that rate limit from now on, or none.
    void state_limit(std::optional<double> rate)
    {
        std::lock_guard const lock(m_mutex);
        m_rate = rate;
        m_limits.note_stated(m_instance, rate, Core::monotonic_now());
    }

    void note_arrival(std::string const& request_id)
    {
        m_limits.note_arrival(m_instance, gateway_of(request_id), Core::monotonic_now());
    }

    /// The header fields of an answer.
    [[nodiscard]] std::map<std::string, std::string> fields() const
    {
        std::lock_guard const lock(m_mutex);
        std::map<std::string, std::string> fields;
        if (m_rate)
            fields[s_limit_field] = Core::concat(*m_rate);
        return fields;
    }
    /// The same as lines of an answer's head.
    [[nodiscard]] std::string lines() const
    {
        std::string text;
        for (auto const& [name, value] : fields())
            Core::append(&text, name, ": ", value, "\r\n");
        return text;
    }

private:
    std::string m_instance;
    RateLimitJudge& m_limits;
    mutable std::mutex m_mutex;
    std::optional<double> m_rate;
};

}
