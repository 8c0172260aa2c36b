#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <optional>

namespace GraniteField::Policy {

/// Keeps the time for which a backend server asked this gateway to send nothing, with 503 and Retry-After. Afterwards
/// requests go there one by one until one is accepted: a server that still rejects would otherwise reject all that has
/// gathered meanwhile. No I/O and no clock.
class ServerBackoff {
public:
    /// A longer time is taken for a mistake; the server is tried again after this one.
    static constexpr Core::Milliseconds s_longest {600'000};
    /// How long the answer to a first request is waited for before another one is sent.
    static constexpr Core::Milliseconds s_probe_interval {250};

    /// The server rejected a request.
    void note_rejected(Core::Milliseconds retry_after, Core::MonotonicTime now)
    {
        m_until = std::max(m_until, now + std::min(retry_after, s_longest));
        m_is_probing = true;
        m_probe_sent.reset();
    }

    /// The server accepted a request that was sent then. One that was sent before the rejection says nothing.
    void note_accepted(Core::MonotonicTime sent)
    {
        if (sent >= m_until)
            m_is_probing = false;
    }

    /// A request goes to the server.
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

    /// Whether the server has asked for this time.
    [[nodiscard]] bool is_in_force(Core::MonotonicTime now) const { return now < m_until; }

private:
    Core::MonotonicTime m_until;
    bool m_is_probing {false};
    std::optional<Core::MonotonicTime> m_probe_sent;
};

}
