#pragma once

#include "RandomMembership.h"
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

/// Strategy by which gateways decide whether to send a request to a server with a rate limit.
enum class LimitStrategy {
    /// The limit is ignored.
    Unbounded,
    /// Each gateway applies the whole limit to its own requests.
    PerGateway,
    /// Each gateway has an equal share of the limit among the gateways that it knows.
    EqualShares,
    /// A few gateways share the limit, the same ones for as long as it lasts.
    FixedSenders,
    /// LimitShares.
    RotatingSenders,
};

struct LimitSettings {
    std::size_t gateways {30};
    double rate {1};
    /// Requests per second from all callers for the server.
    double load {60};
    /// Fraction of the gateways that receive requests.
    double active_fraction {1};
    /// Fraction of its peers that a gateway does not know.
    double unknown_fraction {0};
    /// Time at which the server stops stating its limit, and length of the simulation.
    Core::Milliseconds limit_time {60'000};
    Core::Milliseconds length {60'000};
    std::uint32_t seed {1};
};

/// Settings with which every gateway always has a request for the server.
inline LimitSettings flood(std::size_t gateways, double rate)
{
    LimitSettings settings;
    settings.gateways = gateways;
    settings.rate = rate;
    settings.load = static_cast<double>(gateways) * std::max(10.0, rate);
    settings.limit_time = settings.length = std::chrono::seconds(20);
    return settings;
}

struct LimitOutcome {
    std::vector<std::string> findings;
    /// Maximum number of requests from all gateways in 4 s, after the contact time.
    std::size_t max_requests_in_window {0};
    /// Requests sent while the limit was stated, as a fraction of those that it allows.
    double used_fraction {0};
    /// Time from the end of the limit until a gateway detected it; nullopt if none did.
    std::optional<Core::Milliseconds> detection_time;
};

/// Simulates gateways with requests of their own and one server that states a rate limit.
class LimitSimulation {
public:
    explicit LimitSimulation(LimitSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_gateways(settings.gateways)
    {
    }

    [[nodiscard]] LimitOutcome simulate(LimitStrategy strategy)
    {
        for (std::size_t number = 0; number < m_gateways.size(); ++number)
            set_membership(number);
        m_judge.note_stated(s_server_name, m_settings.rate, s_start);
        auto const active_count = std::max<std::size_t>(
            1, static_cast<std::size_t>(m_settings.active_fraction * static_cast<double>(m_gateways.size())));
        std::exponential_distribution<double> gap(m_settings.load);
        std::uniform_int_distribution<std::size_t> any_gateway(0, active_count - 1);
        for (auto now = next_request(s_start, gap); now < s_start + m_settings.length; now = next_request(now, gap)) {
            if (now >= s_start + m_settings.limit_time && !m_has_ended) {
                m_has_ended = true;
                m_judge.note_stated(s_server_name, std::nullopt, s_start + m_settings.limit_time);
            }
            handle_request(any_gateway(m_random), strategy, now);
        }
        m_outcome.findings = m_judge.findings();
        auto const allowed = m_settings.rate * std::chrono::duration<double>(m_settings.limit_time).count();
        m_outcome.used_fraction = static_cast<double>(m_accepted) / allowed;
        return m_outcome;
    }

private:
    static constexpr std::uint64_t s_server = 11;
    static constexpr char const* s_server_name = "i-1";
    static constexpr Core::Milliseconds s_answer_time {30};
    /// Time until a report has reached all gateways.
    static constexpr Core::Milliseconds s_report_time {150};
    static constexpr std::size_t s_fixed_senders = 4;
    static inline Core::MonotonicTime const s_start {std::chrono::hours(1)};

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

    void set_membership(std::size_t number)
    {
        auto peers = draw_known_peers(number, m_gateways.size(), m_settings.unknown_fraction, m_random);
        auto& gateway = m_gateways[number];
        gateway.known = peers.size();
        gateway.ranks.set(gateway_number(number), peers);
        gateway.shares.set_gateways(gateway_number(number), std::move(peers));
    }

    [[nodiscard]] bool knows_limit(Gateway const& gateway, Core::MonotonicTime now) const
    {
        bool const knows_end = m_end_detected && *m_end_detected + s_report_time <= now;
        return !knows_end && gateway.knows_at && *gateway.knows_at <= now;
    }

    [[nodiscard]] static bool has_passed(Gateway const& gateway, double interval, Core::MonotonicTime now)
    {
        return !gateway.last_sent || now - *gateway.last_sent >= std::chrono::duration<double>(interval);
    }

    [[nodiscard]] bool may_send(Gateway const& gateway, LimitStrategy strategy, Core::MonotonicTime now) const
    {
        if (!knows_limit(gateway, now))
            return true;
        switch (strategy) {
        case LimitStrategy::Unbounded:
            return true;
        case LimitStrategy::PerGateway:
            return has_passed(gateway, 1 / m_settings.rate, now);
        case LimitStrategy::EqualShares:
            return has_passed(gateway, static_cast<double>(gateway.known + 1) / m_settings.rate, now);
        case LimitStrategy::FixedSenders:
            return gateway.ranks.rank_for(s_server) < s_fixed_senders
                && has_passed(gateway, s_fixed_senders / m_settings.rate, now);
        case LimitStrategy::RotatingSenders:
            return gateway.shares.may_send(s_server, limit(), now);
        }
        return true;
    }

    [[nodiscard]] SharedRateLimit limit() const { return {m_settings.rate, *m_first_stated}; }

    void handle_request(std::size_t number, LimitStrategy strategy, Core::MonotonicTime now)
    {
        auto& gateway = m_gateways[number];
        if (!may_send(gateway, strategy, now))
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
            if (!m_end_detected) {
                m_end_detected = answered;
                m_outcome.detection_time = Core::elapsed(s_start + m_settings.limit_time, answered);
            }
            return;
        }
        ++m_accepted;
        m_judge.note_passed_on(s_server_name, name, answered);
        if (!m_first_stated) {
            m_first_stated = answered;
            for (auto& gateway : m_gateways)
                gateway.knows_at = answered + s_report_time;
        }
        auto& knows_at = m_gateways[number].knows_at;
        knows_at = std::min(*knows_at, answered);
        note_window(now);
    }

    void note_window(Core::MonotonicTime now)
    {
        m_window.push_back(now);
        std::erase_if(m_window, [now](auto time) { return time <= now - Testing::RateLimitJudge::s_window; });
        if (now >= s_start + Testing::RateLimitJudge::s_window + s_report_time)
            m_outcome.max_requests_in_window = std::max(m_outcome.max_requests_in_window, m_window.size());
    }

    LimitSettings m_settings;
    std::mt19937 m_random;
    std::vector<Gateway> m_gateways;
    Testing::RateLimitJudge m_judge;
    std::optional<Core::MonotonicTime> m_first_stated;
    std::optional<Core::MonotonicTime> m_end_detected;
    bool m_has_ended {false};
    std::size_t m_accepted {0};
    std::vector<Core::MonotonicTime> m_window;
    LimitOutcome m_outcome;
};

}
