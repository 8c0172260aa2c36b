#pragma once

#include <LibPolicy/ServerBackoff.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace GraniteField::Policy {

/// Strategy of a gateway towards a server that rejects requests and requests a backoff.
enum class BackoffStrategy {
    /// Avoids the server for 250 ms after three consecutive rejections, doubling up to 2 s, whatever backoff it
    /// requested.
    AfterThreeFailures,
    /// Avoids the server for the requested backoff and then uses it as before.
    BackoffOnly,
    /// ServerBackoff.
    BackoffThenProbe,
};

struct BackoffSettings {
    Core::Milliseconds backoff {1'700};
    /// Requests per second of the gateway for the server.
    double load {50};
    /// Time for which the server rejects all requests. It accepts all of them afterwards.
    Core::Milliseconds overload_time {6'000};
    Core::Milliseconds length {20'000};
    std::uint32_t seed {1};
};

struct BackoffOutcome {
    /// Maximum number of requests that arrived during one backoff, from half a second after the rejection on.
    std::size_t max_requests_in_backoff {0};
    std::size_t rejected {0};
    /// Time from the server's recovery to the first accepted request; nullopt if there was none.
    std::optional<Core::Milliseconds> recovery_time;
};

/// Simulates a gateway and a server that rejects requests for a while.
class BackoffSimulation {
public:
    explicit BackoffSimulation(BackoffSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    [[nodiscard]] BackoffOutcome simulate(BackoffStrategy strategy)
    {
        std::exponential_distribution<double> gap(m_settings.load);
        auto const next = [&](Core::MonotonicTime time) {
            return time
                + std::chrono::duration_cast<Core::MonotonicTime::duration>(
                    std::chrono::duration<double>(gap(m_random)));
        };
        for (auto now = next(s_start); now < s_start + m_settings.length; now = next(now)) {
            process_answers(strategy, now);
            if (may_send(strategy, now))
                send(now);
        }
        return m_outcome;
    }

private:
    static inline Core::MonotonicTime const s_start {std::chrono::hours(1)};
    static constexpr Core::Milliseconds s_answer_time {5};
    static constexpr Core::Milliseconds s_notice_time {500};
    static constexpr unsigned s_failures_to_avoid = 3;
    static constexpr unsigned s_max_doublings = 3;
    static constexpr Core::Milliseconds s_min_avoidance {250};

    struct Answer {
        Core::MonotonicTime sent;
        Core::MonotonicTime received;
        bool is_rejection {false};
    };

    [[nodiscard]] bool may_send(BackoffStrategy strategy, Core::MonotonicTime now) const
    {
        switch (strategy) {
        case BackoffStrategy::AfterThreeFailures:
            return now >= m_avoided_until;
        case BackoffStrategy::BackoffOnly:
            return !m_backoff.is_in_force(now);
        case BackoffStrategy::BackoffThenProbe:
            return m_backoff.next_send(now) <= now;
        }
        return true;
    }

    void send(Core::MonotonicTime now)
    {
        m_backoff.note_sent(now);
        bool const is_rejection = now < s_start + m_settings.overload_time;
        for (auto& backoff : m_backoffs) {
            bool const is_in_backoff = now > backoff.begin + s_notice_time && now < backoff.begin + m_settings.backoff;
            if (is_in_backoff)
                m_outcome.max_requests_in_backoff = std::max(m_outcome.max_requests_in_backoff, ++backoff.arrivals);
        }
        if (is_rejection) {
            ++m_outcome.rejected;
            m_backoffs.push_back({now, 0});
        } else if (!m_outcome.recovery_time) {
            m_outcome.recovery_time = Core::elapsed(s_start + m_settings.overload_time, now);
        }
        m_answers.push_back({now, now + s_answer_time, is_rejection});
    }

    void process_answers(BackoffStrategy strategy, Core::MonotonicTime now)
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
            if (strategy == BackoffStrategy::AfterThreeFailures && ++m_failures >= s_failures_to_avoid) {
                auto const doublings = std::min(m_avoidances++, s_max_doublings);
                m_avoided_until = answer.received + s_min_avoidance * (1U << doublings);
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
