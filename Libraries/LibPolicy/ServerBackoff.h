#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <optional>

namespace GraniteField::Policy {

/// Tracks the backoff that a backend server requested from this gateway with 503 and Retry-After. After the backoff,
/// single requests probe the server until one is accepted; a server that is still overloaded would otherwise receive
/// all requests queued meanwhile. No I/O and no clock.
class ServerBackoff {
public:
    /// Time after which another probe is sent if the last one was not answered.
    static constexpr Core::Milliseconds s_probe_interval {250};

    /// The server rejected a request.
    void note_rejected(Core::Milliseconds retry_after, Core::MonotonicTime now)
    {
        m_until = std::max<Core::MonotonicTime>(m_until, now + retry_after);
        m_is_probing = true;
        m_probe_sent.reset();
    }

    /// The server accepted a request that was sent at that time.
    void note_accepted(Core::MonotonicTime sent)
    {
        if (sent >= m_until)
            m_is_probing = false;
    }

    /// Records a request to the server.
    void note_sent(Core::MonotonicTime now)
    {
        if (m_is_probing)
            m_probe_sent = now;
    }

    /// The earliest time from `now` on at which a request may be sent.
    [[nodiscard]] Core::MonotonicTime next_send(Core::MonotonicTime now) const
    {
        auto const earliest = std::max(m_until, now);
        if (!m_is_probing || !m_probe_sent)
            return earliest;
        return std::max<Core::MonotonicTime>(earliest, *m_probe_sent + s_probe_interval);
    }

    [[nodiscard]] bool is_in_force(Core::MonotonicTime now) const { return now < m_until; }

private:
    Core::MonotonicTime m_until;
    bool m_is_probing {false};
    std::optional<Core::MonotonicTime> m_probe_sent;
};

}
