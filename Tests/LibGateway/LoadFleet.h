#pragma once

#include "NullDescriptor.h"

#include <LibCore/Text.h>
#include <LibGateway/LoadSharing.h>
#include <LibProtocol/ProtocolVersion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

using namespace std::chrono_literals;

inline Core::MonotonicTime const s_start {1h};
inline constexpr Core::Milliseconds s_step {5};
/// Delay of a datagram between two gateways.
inline constexpr Core::Milliseconds s_latency {1};
/// Maximum time for a change to reach all gateways: three intervals and the delays between.
inline constexpr Core::Milliseconds s_max_propagation_time = LoadSharing::s_interval * 3 + s_step * 2;
inline constexpr std::size_t s_groups = 3;

/// One gateway of the fleet.
struct Node {
    /// `life` is the number of earlier processes of this gateway.
    Node(std::size_t number, std::uint64_t life, Core::MonotonicTime started)
        : address(Core::concat("10.0.0.", number, ":1"))
        , member {address, Core::concat("domain-", number % s_groups), number < s_groups ? 500U : 90U, number}
        , id(number + 1 + 1'000 * life)
        , sharing(id, fleet, CrashSharing(crashes), nullptr, started, &demand)
        , next_tick(started + s_step * static_cast<int>(id % 10))
    {
    }

    [[nodiscard]] BackendFleet::Settings settings() const
    {
        BackendFleet::Settings settings;
        settings.seed = id;
        return settings;
    }

    std::string address;
    Entry::LoadMember member;
    std::uint64_t id;
    bool is_alive {true};
    Testing::NullDescriptor log_descriptor;
    Observe::MetricRegistry metrics;
    Observe::EventLog log {log_descriptor.number(), "gateway", Core::Incarnation(1), metrics};
    BackendFleet fleet {settings(), log};
    Policy::CrashLedger crashes;
    Policy::Admission admission;
    DemandSharing demand {admission};
    LoadSharing sharing;
    /// Ticks of the gateways do not coincide.
    Core::MonotonicTime next_tick;
};

/// Gateways of three failure domains in front of six engines.
class LoadFleet : public ::testing::Test {
protected:
    static constexpr std::size_t s_count = 12;

    explicit LoadFleet(std::size_t count = s_count)
        : m_count(count)
    {
        for (std::size_t number = 0; number < m_count; ++number)
            m_nodes.push_back(make_node(number));
        connect_all();
        advance(3s);
    }

    std::unique_ptr<Node> make_node(std::size_t number)
    {
        Entry::ServerList list;
        for (int engine = 0; engine < 6; ++engine)
            list.servers.push_back({Core::concat("i-", engine), "svc", *Core::Address::from_string("127.0.0.1:9"),
                "here", 64, Table::BackendServerState::Serving});
        auto node = std::make_unique<Node>(number, m_created_count++ / m_count, m_now);
        node->fleet.apply(list, s_start);
        return node;
    }

    /// Sets the members of all gateways.
    void connect_all()
    {
        for (auto& node : m_nodes) {
            Entry::LoadMembers members {node->member, {}};
            for (auto const& other : m_nodes) {
                if (other != node)
                    members.peers.push_back(other->member);
            }
            node->sharing.set_members(members);
            node->fleet.apply(&members);
        }
    }

    [[nodiscard]] Node& node(std::size_t number) { return *m_nodes.at(number); }
    static BackendView& view(Node& node, char const* instance) { return *node.fleet.all().at(instance); }

    /// Advances the simulated time.
    void advance(Core::Milliseconds duration)
    {
        for (auto const end = m_now + duration; m_now < end; m_now += s_step) {
            deliver();
            for (auto& node : m_nodes)
                tick(*node);
        }
    }

    void tick(Node& node)
    {
        if (!node.is_alive || m_now < node.next_tick)
            return;
        node.next_tick += LoadSharing::s_interval;
        node.crashes.tick(m_now);
        auto datagrams = node.sharing.tick({}, m_now);
        // The order of hash tables differs between processes; which datagrams are lost must not depend on it.
        std::ranges::stable_sort(datagrams, {}, &OutgoingDatagram::address);
        for (auto const& outgoing : datagrams) {
            ++m_sent;
            m_bytes += outgoing.bytes->size();
            if (std::uniform_real_distribution<double>(0, 1)(m_generator) >= m_loss)
                m_in_flight.push_back({m_now + s_latency, node.address, outgoing});
        }
    }

    void deliver()
    {
        auto const arrived = std::stable_partition(
            m_in_flight.begin(), m_in_flight.end(), [&](auto const& item) { return item.at > m_now; });
        std::vector<InFlight> const due(arrived, m_in_flight.end());
        m_in_flight.erase(arrived, m_in_flight.end());
        for (auto const& item : due) {
            auto const target
                = std::ranges::find(m_nodes, item.outgoing.address, [](auto const& node) { return node->address; });
            LoadSharing::Datagram datagram;
            ASSERT_TRUE(datagram.ParseFromString(*item.outgoing.bytes));
            if ((*target)->is_alive) {
                EXPECT_TRUE((*target)->sharing.receive(datagram, item.from, m_now));
            }
        }
    }

    /// Returns the gateways whose load of the engine differs from the actual one.
    [[nodiscard]] std::vector<std::string> gateways_with_wrong_load(char const* instance)
    {
        ServerLoad truth;
        for (auto const& node : m_nodes) {
            if (node->is_alive)
                truth += view(*node, instance).own_load();
        }
        std::vector<std::string> names;
        for (auto const& node : m_nodes) {
            if (node->is_alive && view(*node, instance).load() != truth)
                names.push_back(node->address);
        }
        return names;
    }

    [[nodiscard]] std::size_t count_relays() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            m_nodes, [](auto const& node) { return node->is_alive && node->sharing.is_relay(); }));
    }

    struct InFlight {
        Core::MonotonicTime at;
        std::string from;
        OutgoingDatagram outgoing;
    };

    std::size_t m_count;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<InFlight> m_in_flight;
    Core::MonotonicTime m_now {s_start};
    double m_loss {0};
    std::mt19937 m_generator {20261202};
    std::size_t m_created_count {0};
    std::size_t m_sent {0};
    std::size_t m_bytes {0};
};

}
