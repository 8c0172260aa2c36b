#pragma once

#include "SignalJudges.h"

#include <LibCore/Text.h>
#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace GraniteField::Testing {

/// Rate limits and backoffs that the soaks draw from.
inline constexpr std::array s_drawn_rates {0.4, 1.0, 2.5, 20.0};
inline constexpr std::array s_drawn_backoffs {
    Core::Milliseconds(300), Core::Milliseconds(1'700), Core::Milliseconds(3'000)};

/// The name by which the judges know a gateway.
[[nodiscard]] inline std::string gateway_name(std::size_t index)
{
    return Core::concat("g", index);
}

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
    static constexpr char const* s_leaving_field = "Server-Leaving";

    StatedSignals(std::string instance, SignalJudges& judges)
        : m_instance(std::move(instance))
        , m_judges(judges)
    {
    }

    /// The server states that rate limit from now on, or none.
    void state_limit(std::optional<double> rate)
    {
        std::lock_guard const lock(m_mutex);
        m_rate = rate;
        m_judges.limits.note_stated(m_instance, rate, Core::monotonic_now());
    }

    /// The server states from now on that it leaves.
    void state_leaving()
    {
        std::lock_guard const lock(m_mutex);
        m_is_leaving = true;
    }

    /// From now on the server rejects every request with that Retry-After, or none.
    void reject_for(std::optional<Core::Milliseconds> retry_after)
    {
        std::lock_guard const lock(m_mutex);
        m_retry_after = retry_after;
    }

    /// The value of Retry-After with which the server rejects the request, and nothing where it takes it.
    [[nodiscard]] std::optional<std::string> reject(std::string const& request_id)
    {
        std::lock_guard const lock(m_mutex);
        if (!m_retry_after)
            return std::nullopt;
        m_judges.backoffs.note_rejection(m_instance, gateway_of(request_id), *m_retry_after, Core::monotonic_now());
        return Core::concat(std::chrono::duration<double>(*m_retry_after).count());
    }

    void note_arrival(std::string const& request_id)
    {
        auto const gateway = gateway_of(request_id);
        auto const now = Core::monotonic_now();
        m_judges.limits.note_arrival(m_instance, gateway, now);
        m_judges.backoffs.note_arrival(m_instance, gateway, now);
        m_judges.leaving.note_arrival(m_instance, gateway, request_id);
    }

    /// The header fields of an answer.
    [[nodiscard]] std::map<std::string, std::string> fields() const
    {
        std::lock_guard const lock(m_mutex);
        std::map<std::string, std::string> fields;
        if (m_rate)
            fields[s_limit_field] = Core::concat(*m_rate);
        if (m_is_leaving)
            fields[s_leaving_field] = "1";
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
    SignalJudges& m_judges;
    mutable std::mutex m_mutex;
    std::optional<double> m_rate;
    bool m_is_leaving {false};
    std::optional<Core::Milliseconds> m_retry_after;
};

}
