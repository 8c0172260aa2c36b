#pragma once

#include "RandomMembership.h"

#include <LibCore/Hashing.h>
#include <LibPolicy/ColdShares.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace GraniteField::Policy {

/// Strategy by which gateways decide whether to send a request to a cold server.
enum class ColdStrategy {
    /// Always send: a cold server is the least loaded one.
    Unbounded,
    /// Each gateway has an equal share of the rate among the gateways that it knows and may send its first request at
    /// once.
    EqualShares,
    /// ColdShares.
    RendezvousSenders,
};

struct ColdSettings {
    std::size_t gateways {30};
    std::size_t cold_servers {14};
    ColdShares::Rate rate {5.9};
    /// Requests per second from all callers.
    double load {120};
    /// Fraction of its peers that a gateway does not know.
    double unknown_fraction {0};
    /// Fraction of the gateways that start together with the servers and do not know the membership at first.
    double restarted_fraction {0};
    Core::Milliseconds membership_delay {1'500};
    Core::Milliseconds length {3'000};
    std::uint32_t seed {1};
};

struct ColdOutcome {
    /// Maximum number of requests to one server within a second.
    std::size_t max_requests_per_second {0};
    /// Number of requests sent to cold servers, and of all requests.
    std::size_t sent_to_cold_servers {0};
    std::size_t requests {0};
    /// Number of servers that received no request.
    std::size_t unused_servers {0};
};

/// Simulates gateways with requests of their own and servers that start cold together.
class ColdSimulation {
public:
    explicit ColdSimulation(ColdSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_gateways(settings.gateways)
    {
    }

    [[nodiscard]] ColdOutcome simulate(ColdStrategy strategy)
    {
        Core::MonotonicTime const start {std::chrono::hours(1)};
        auto const restarted_count
            = static_cast<std::size_t>(m_settings.restarted_fraction * static_cast<double>(m_gateways.size()));
        for (std::size_t number = restarted_count; number < m_gateways.size(); ++number)
            set_membership(number);
        std::exponential_distribution<double> gap(m_settings.load);
        std::uniform_int_distribution<std::size_t> any_gateway(0, m_gateways.size() - 1);
        bool is_membership_known = false;
        for (std::chrono::duration<double> passed(gap(m_random)); passed < m_settings.length;
             passed += std::chrono::duration<double>(gap(m_random))) {
            auto const now = start + std::chrono::duration_cast<Core::MonotonicTime::duration>(passed);
            if (!is_membership_known && passed >= m_settings.membership_delay) {
                for (std::size_t number = 0; number < restarted_count; ++number)
                    set_membership(number);
                is_membership_known = true;
            }
            ++m_outcome.requests;
            send(any_gateway(m_random), strategy, now);
        }
        m_outcome.unused_servers = m_settings.cold_servers - m_arrivals.size();
        return m_outcome;
    }

private:
    struct Gateway {
        ColdShares shares;
        std::size_t known {0};
        std::map<std::uint64_t, Core::MonotonicTime> last_sent;
    };

    void set_membership(std::size_t number)
    {
        auto const peers = draw_known_peers(number, m_gateways.size(), m_settings.unknown_fraction, m_random);
        m_gateways[number].known = peers.size();
        m_gateways[number].shares.set_gateways(gateway_number(number), peers);
    }

    [[nodiscard]] bool may_send(
        Gateway const& gateway, std::uint64_t server, ColdStrategy strategy, Core::MonotonicTime now) const
    {
        if (strategy == ColdStrategy::Unbounded)
            return true;
        if (strategy == ColdStrategy::RendezvousSenders)
            return gateway.shares.may_send(server, m_settings.rate, now);
        std::chrono::duration<double> const interval(static_cast<double>(gateway.known + 1) / m_settings.rate);
        auto const last = gateway.last_sent.find(server);
        return last == gateway.last_sent.end() || now - last->second >= interval;
    }

    /// Sends to the first cold server, from a random one on, that may receive a request.
    void send(std::size_t number, ColdStrategy strategy, Core::MonotonicTime now)
    {
        auto& gateway = m_gateways[number];
        std::uniform_int_distribution<std::size_t> any_server(0, m_settings.cold_servers - 1);
        auto const first = any_server(m_random);
        for (std::size_t step = 0; step < m_settings.cold_servers; ++step) {
            auto const server = Core::mix((first + step) % m_settings.cold_servers, 11);
            if (!may_send(gateway, server, strategy, now))
                continue;
            gateway.shares.note_sent(server, now);
            gateway.last_sent[server] = now;
            return arrive(server, now);
        }
    }

    void arrive(std::uint64_t server, Core::MonotonicTime now)
    {
        ++m_outcome.sent_to_cold_servers;
        auto& arrivals = m_arrivals[server];
        arrivals.push_back(now);
        while (now - arrivals.front() >= std::chrono::seconds(1))
            arrivals.pop_front();
        m_outcome.max_requests_per_second = std::max(m_outcome.max_requests_per_second, arrivals.size());
    }

    ColdSettings m_settings;
    std::mt19937 m_random;
    std::vector<Gateway> m_gateways;
    std::map<std::uint64_t, std::deque<Core::MonotonicTime>> m_arrivals;
    ColdOutcome m_outcome;
};

}
