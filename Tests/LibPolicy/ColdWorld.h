#pragma once

#include "DrawnMembership.h"

#include <LibCore/Hashing.h>
#include <LibPolicy/ColdShares.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace GraniteField::Policy {

/// How gateways decide whether a cold server gets their next request.
enum class ColdWay {
    /// Whoever has a request sends it to the emptiest, which a cold server is.
    Unbounded,
    /// Each gateway has the rate divided by the gateways that it knows, and may send its first at once.
    EqualShares,
    /// ColdShares.
    NamedSenders,
};

struct ColdSettings {
    std::size_t gateways {30};
    std::size_t cold_servers {14};
    ColdShares::Rate rate {5.9};
    /// Requests a second of all callers.
    double load {120};
    /// The part of the others that each gateway does not know.
    double unknown {0};
    /// The part of the gateways that begin together with the servers, and know nobody at first.
    double begun {0};
    Core::Milliseconds acquaintance {1'500};
    Core::Milliseconds length {3'000};
    std::uint32_t seed {1};
};

struct ColdOutcome {
    /// The most requests that reached one server within a second.
    std::size_t most_in_a_second {0};
    /// Requests that cold servers took, of all.
    std::size_t taken {0};
    std::size_t requests {0};
    /// Servers that got none.
    std::size_t unused {0};
};

/// Gateways with requests of their own before servers that have come back cold together, in simulated time.
class ColdWorld {
public:
    explicit ColdWorld(ColdSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_gateways(settings.gateways)
    {
    }

    [[nodiscard]] ColdOutcome play(ColdWay way)
    {
        Core::MonotonicTime const begin {std::chrono::hours(1)};
        auto const begun = static_cast<std::size_t>(m_settings.begun * static_cast<double>(m_gateways.size()));
        for (std::size_t number = begun; number < m_gateways.size(); ++number)
            introduce(number);
        std::exponential_distribution<double> gap(m_settings.load);
        std::uniform_int_distribution<std::size_t> any_gateway(0, m_gateways.size() - 1);
        bool are_acquainted = false;
        for (std::chrono::duration<double> passed(gap(m_random)); passed < m_settings.length;
             passed += std::chrono::duration<double>(gap(m_random))) {
            auto const now = begin + std::chrono::duration_cast<Core::MonotonicTime::duration>(passed);
            if (!are_acquainted && passed >= m_settings.acquaintance) {
                for (std::size_t number = 0; number < begun; ++number)
                    introduce(number);
                are_acquainted = true;
            }
            ++m_outcome.requests;
            send(any_gateway(m_random), way, now);
        }
        m_outcome.unused = m_settings.cold_servers - m_arrivals.size();
        return m_outcome;
    }

private:
    struct Gateway {
        ColdShares shares;
        std::size_t known {0};
        std::map<std::uint64_t, Core::MonotonicTime> last_sent;
    };

    void introduce(std::size_t number)
    {
        auto const others = draw_known_others(number, m_gateways.size(), m_settings.unknown, m_random);
        m_gateways[number].known = others.size();
        m_gateways[number].shares.set_gateways(order_of(number), others);
    }

    [[nodiscard]] bool may_send(
        Gateway const& gateway, std::uint64_t server, ColdWay way, Core::MonotonicTime now) const
    {
        if (way == ColdWay::Unbounded)
            return true;
        if (way == ColdWay::NamedSenders)
            return gateway.shares.may_send(server, m_settings.rate, now);
        std::chrono::duration<double> const interval(static_cast<double>(gateway.known + 1) / m_settings.rate);
        auto const last = gateway.last_sent.find(server);
        return last == gateway.last_sent.end() || now - last->second >= interval;
    }

    /// To the cold server that has had the least of this gateway's.
    void send(std::size_t number, ColdWay way, Core::MonotonicTime now)
    {
        auto& gateway = m_gateways[number];
        std::uniform_int_distribution<std::size_t> any_server(0, m_settings.cold_servers - 1);
        auto const first = any_server(m_random);
        for (std::size_t step = 0; step < m_settings.cold_servers; ++step) {
            auto const server = Core::mix((first + step) % m_settings.cold_servers, 11);
            if (!may_send(gateway, server, way, now))
                continue;
            gateway.shares.note_sent(server, now);
            gateway.last_sent[server] = now;
            return arrive(server, now);
        }
    }

    void arrive(std::uint64_t server, Core::MonotonicTime now)
    {
        ++m_outcome.taken;
        auto& arrivals = m_arrivals[server];
        arrivals.push_back(now);
        while (now - arrivals.front() >= std::chrono::seconds(1))
            arrivals.pop_front();
        m_outcome.most_in_a_second = std::max(m_outcome.most_in_a_second, arrivals.size());
    }

    ColdSettings m_settings;
    std::mt19937 m_random;
    std::vector<Gateway> m_gateways;
    std::map<std::uint64_t, std::deque<Core::MonotonicTime>> m_arrivals;
    ColdOutcome m_outcome;
};

}
