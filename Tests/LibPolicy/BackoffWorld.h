#pragma once

#include <LibPolicy/ServerBackoff.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace GraniteField::Policy {

/// How a gateway goes on with a server that rejects its requests and requests a backoff.
enum class BackoffWay {
    /// After three rejections in a row it is left alone for 250 ms, doubling up to 2 s, whatever it asked for.
    AfterThreeFailures,
    /// It is left alone for as long as it asked, and then used as before.
    BackoffOnly,
    /// ServerBackoff.
    BackoffThenProbe,
};

struct BackoffSettings {
    Core::Milliseconds backoff {1'700};
    /// Requests per second of the gateway that want the server.
    double load {50};
    /// How long the server rejects; it accepts everything afterwards.
    Core::Milliseconds rejecting {6'000};
    Core::Milliseconds length {20'000};
    std::uint32_t seed {1};
};

struct BackoffOutcome {
    /// The most requests that arrived between half a second after a rejection and the end of its time.
    std::size_t most_in_a_backoff {0};
    std::size_t rejected {0};
    /// From the server's recovery until it accepted a request; nothing if it never did.
    std::optional<Core::Milliseconds> used_after;
};

/// A gateway before a server that rejects requests for a while, in simulated time.
class BackoffWorld {
public:
    explicit BackoffWorld(BackoffSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    [[nodiscard]] BackoffOutcome play(BackoffWay way)
    {
        std::exponential_distribution<double> gap(m_settings.load);
        auto const next = [&](Core::MonotonicTime time) {
            return time
                + std::chrono::duration_cast<Core::MonotonicTime::duration>(
                    std::chrono::duration<double>(gap(m_random)));
        };
        for (auto now = next(s_begin); now < s_begin + m_settings.length; now = next(now)) {
            take_answers(way, now);
            if (may_send(way, now))
                send(now);
        }
        return m_outcome;
    }

private:
    static inline Core::MonotonicTime const s_begin {std::chrono::hours(1)};
    static constexpr Core::Milliseconds s_answer_time {5};
    static constexpr Core::Milliseconds s_notice {500};
    static constexpr unsigned s_failures_to_avoid = 3;
    static constexpr unsigned s_most_doublings = 3;
    static constexpr Core::Milliseconds s_shortest_avoidance {250};

    struct Answer {
        Core::MonotonicTime sent;
        Core::MonotonicTime received;
        bool is_rejection {false};
    };

    [[nodiscard]] bool may_send(BackoffWay way, Core::MonotonicTime now) const
    {
        switch (way) {
        case BackoffWay::AfterThreeFailures:
            return now >= m_avoided_until;
        case BackoffWay::BackoffOnly:
            return !m_backoff.is_in_force(now);
        case BackoffWay::BackoffThenProbe:
            return m_backoff.next_send(now) <= now;
        }
        return true;
    }

    void send(Core::MonotonicTime now)
    {
        m_backoff.note_sent(now);
        bool const is_rejection = now < s_begin + m_settings.rejecting;
        for (auto& backoff : m_backoffs) {
            bool const is_in_backoff = now > backoff.begin + s_notice && now < backoff.begin + m_settings.backoff;
            if (is_in_backoff)
                m_outcome.most_in_a_backoff = std::max(m_outcome.most_in_a_backoff, ++backoff.arrivals);
        }
        if (is_rejection) {
            ++m_outcome.rejected;
            m_backoffs.push_back({now, 0});
        } else if (!m_outcome.used_after) {
            m_outcome.used_after = Core::elapsed(s_begin + m_settings.rejecting, now);
        }
        m_answers.push_back({now, now + s_answer_time, is_rejection});
    }

    void take_answers(BackoffWay way, Core::MonotonicTime now)
    {
        while (!m_answers.empty() && m_answers.front().received <= now) {
            auto const answer = m_answers.front();
            m_answers.pop_front();
            if (!answer.is_rejection) {
                m_backoff.note_accepted(answer.sent);
                m_failures = m_avoidances = 0;
                continue;
            }
            m_backoff.note_rejected(m_settings.backoff, answer.received);
            if (way == BackoffWay::AfterThreeFailures && ++m_failures >= s_failures_to_avoid) {
                auto const doublings = std::min(m_avoidances++, s_most_doublings);
                m_avoided_until = answer.received + s_shortest_avoidance * (1U << doublings);
            }
        }
    }

    struct Backoff {
        Core::MonotonicTime begin;
        std::size_t arrivals {0};
    };

    BackoffSettings m_settings;
    std::mt19937 m_random;
    ServerBackoff m_backoff;
    unsigned m_failures {0};
    unsigned m_avoidances {0};
    Core::MonotonicTime m_avoided_until;
    std::deque<Answer> m_answers;
    std::vector<Backoff> m_backoffs;
    BackoffOutcome m_outcome;
};

}
