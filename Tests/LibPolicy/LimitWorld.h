#pragma once

#include "DrawnMembership.h"
#include "RateLimitJudge.h"

#include <LibCore/Text.h>
#include <LibPolicy/LimitShares.h>
#include <LibPolicy/RateLimitFact.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace GraniteField::Policy {

/// How gateways decide whether a server with a rate limit gets their next request.
enum class LimitWay {
    /// Nobody reads the limit.
    Unbounded,
    /// Each gateway keeps the whole limit by itself.
    Alone,
    /// Each gateway has the limit divided by the gateways that it knows.
    EqualShares,
    /// A few gateways have all of the limit, the same ones for as long as it lasts.
    FixedSenders,
    /// LimitShares.
    ChangingSenders,
};

struct LimitSettings {
    std::size_t gateways {30};
    double rate {1};
    /// Requests per second of all callers that want the server.
    double load {60};
    /// The part of the gateways that have requests at all.
    double active {1};
    /// The part of the others that each gateway does not know.
    double unknown {0};
    /// When the server stops stating its limit, and when the play ends.
    Core::Milliseconds limited {60'000};
    Core::Milliseconds length {60'000};
    std::uint32_t seed {1};
};

struct LimitOutcome {
    std::vector<std::string> findings;
    /// The most requests in 4 s from the contact time on, from whichever gateway.
    std::size_t most_in_window {0};
    /// Requests taken while the limit was stated, as a part of what it allows.
    double used {0};
    /// From the end of the limit until a gateway knew; nothing if none did.
    std::optional<Core::Milliseconds> found_after;
};

/// Gateways with requests of their own before one server that states a rate limit, in simulated time.
class LimitWorld {
public:
    explicit LimitWorld(LimitSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_gateways(settings.gateways)
    {
    }

    [[nodiscard]] LimitOutcome play(LimitWay way)
    {
        for (std::size_t number = 0; number < m_gateways.size(); ++number)
            introduce(number);
        m_judge.note_stated(s_server_name, m_settings.rate, s_begin);
        auto const active = std::max<std::size_t>(
            1, static_cast<std::size_t>(m_settings.active * static_cast<double>(m_gateways.size())));
        std::exponential_distribution<double> gap(m_settings.load);
        std::uniform_int_distribution<std::size_t> any_gateway(0, active - 1);
        for (auto now = next_request(s_begin, gap); now < s_begin + m_settings.length; now = next_request(now, gap)) {
            if (now >= s_begin + m_settings.limited && !m_has_ended) {
                m_has_ended = true;
                m_judge.note_stated(s_server_name, std::nullopt, s_begin + m_settings.limited);
            }
            consider(any_gateway(m_random), way, now);
        }
        m_outcome.findings = m_judge.findings();
        auto const allowed = m_settings.rate * std::chrono::duration<double>(m_settings.limited).count();
        m_outcome.used = static_cast<double>(m_taken) / allowed;
        return m_outcome;
    }

private:
    static constexpr std::uint64_t s_server = 11;
    static constexpr char const* s_server_name = "i-1";
    static constexpr Core::Milliseconds s_answer_time {30};
    /// How long a report takes to all gateways.
    static constexpr Core::Milliseconds s_spread_time {150};
    static constexpr std::size_t s_fixed_senders = 4;
    static inline Core::MonotonicTime const s_begin {std::chrono::hours(1)};

    struct Gateway {
        LimitShares shares;
        GatewayRanks ranks;
        std::size_t known {0};
        std::optional<Core::MonotonicTime> knows_at;
        std::optional<Core::MonotonicTime> last_sent;
    };

    Core::MonotonicTime next_request(Core::MonotonicTime now, std::exponential_distribution<double>& gap)
    {
        return now
            + std::chrono::duration_cast<Core::MonotonicTime::duration>(std::chrono::duration<double>(gap(m_random)));
    }

    void introduce(std::size_t number)
    {
        auto others = draw_known_others(number, m_gateways.size(), m_settings.unknown, m_random);
        auto& gateway = m_gateways[number];
        gateway.known = others.size();
        gateway.ranks.set(order_of(number), others);
        gateway.shares.set_gateways(order_of(number), std::move(others));
    }

    [[nodiscard]] bool knows_limit(Gateway const& gateway, Core::MonotonicTime now) const
    {
        bool const knows_end = m_known_ended && *m_known_ended + s_spread_time <= now;
        return !knows_end && gateway.knows_at && *gateway.knows_at <= now;
    }

    [[nodiscard]] static bool has_passed(Gateway const& gateway, double interval, Core::MonotonicTime now)
    {
        return !gateway.last_sent || now - *gateway.last_sent >= std::chrono::duration<double>(interval);
    }

    [[nodiscard]] bool may_send(Gateway const& gateway, LimitWay way, Core::MonotonicTime now) const
    {
        if (!knows_limit(gateway, now))
            return true;
        switch (way) {
        case LimitWay::Unbounded:
            return true;
        case LimitWay::Alone:
            return has_passed(gateway, 1 / m_settings.rate, now);
        case LimitWay::EqualShares:
            return has_passed(gateway, static_cast<double>(gateway.known + 1) / m_settings.rate, now);
        case LimitWay::FixedSenders:
            return gateway.ranks.rank_for(s_server) < s_fixed_senders
                && has_passed(gateway, s_fixed_senders / m_settings.rate, now);
        case LimitWay::ChangingSenders:
            return gateway.shares.may_send(s_server, limit(), now);
        }
        return true;
    }

    [[nodiscard]] SharedRateLimit limit() const { return {m_settings.rate, *m_first_stated}; }

    void consider(std::size_t number, LimitWay way, Core::MonotonicTime now)
    {
        auto& gateway = m_gateways[number];
        if (!may_send(gateway, way, now))
            return;
        if (knows_limit(gateway, now))
            gateway.shares.note_sent(s_server, limit(), now);
        gateway.last_sent = now;
        arrive(number, now);
    }

    void arrive(std::size_t number, Core::MonotonicTime now)
    {
        auto const name = Core::concat("g", number);
        m_judge.note_arrival(s_server_name, name, now);
        auto const answered = now + s_answer_time;
        if (m_has_ended) {
            if (!m_known_ended) {
                m_known_ended = answered;
                m_outcome.found_after = Core::elapsed(s_begin + m_settings.limited, answered);
            }
            return;
        }
        ++m_taken;
        m_judge.note_passed_on(s_server_name, name, answered);
        if (!m_first_stated) {
            m_first_stated = answered;
            for (auto& gateway : m_gateways)
                gateway.knows_at = answered + s_spread_time;
        }
        auto& knows_at = m_gateways[number].knows_at;
        knows_at = std::min(*knows_at, answered);
        note_window(now);
    }

    void note_window(Core::MonotonicTime now)
    {
        m_window.push_back(now);
        std::erase_if(m_window, [now](auto time) { return time <= now - Testing::RateLimitJudge::s_window; });
        if (now >= s_begin + Testing::RateLimitJudge::s_window + s_spread_time)
            m_outcome.most_in_window = std::max(m_outcome.most_in_window, m_window.size());
    }

    LimitSettings m_settings;
    std::mt19937 m_random;
    std::vector<Gateway> m_gateways;
    Testing::RateLimitJudge m_judge;
    std::optional<Core::MonotonicTime> m_first_stated;
    std::optional<Core::MonotonicTime> m_known_ended;
    bool m_has_ended {false};
    std::size_t m_taken {0};
    std::vector<Core::MonotonicTime> m_window;
    LimitOutcome m_outcome;
};

}
