#pragma once

#include "GatewayFixture.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace GraniteField::Testing {

/// Runs several gateways in this process that know each other, in front of the fixture's backend servers.
class GatewayGroup : public GatewayFixture {
protected:
    struct Node {
        explicit Node(GatewayGroup& test)
            : duty(Core::Milliseconds(3'000), 0, test.m_table, test.m_servers, test.m_log, test.m_metrics)
            , gateway(test.m_settings, test.m_table, test.m_servers, membership, duty, test.m_log, test.m_metrics,
                  nullptr, &test.m_store_quarantine)
        {
        }

        Entry::SharedMembership membership;
        Entry::WatchDuty duty;
        Gateway::GatewayServer gateway;
    };

    GatewayGroup() { m_settings.load_address = Core::Address::from_string("127.0.0.1:0"); }

    /// Starts that many gateways, which then all know each other.
    void start_gateways(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
            m_nodes.push_back(std::make_unique<Node>(*this));
        connect_all();
    }

    /// Ends a gateway without notice; the others still count it as a member.
    void kill_gateway(std::size_t number) { m_nodes.at(number).reset(); }

    /// Makes the running gateways members of each other's load exchange, and wakes them.
    void connect_all()
    {
        std::vector<Entry::LoadMember> members;
        for (std::size_t number = 0; number < m_nodes.size(); ++number) {
            if (m_nodes[number])
                members.push_back({m_nodes[number]->gateway.load_address(), "here", 100, number});
        }
        for (std::size_t number = 0; number < m_nodes.size(); ++number) {
            if (!m_nodes[number])
                continue;
            Entry::LoadMembers known;
            for (auto const& member : members) {
                if (member.order == number)
                    known.self = member;
                else
                    known.peers.push_back(member);
            }
            m_nodes[number]->membership.peer_count = known.peers.size();
            m_nodes[number]->membership.set_load_members(std::move(known));
            m_nodes[number]->membership.is_discovery_complete = true;
        }
        wake_all();
    }

    void wake_all()
    {
        for (auto const& node : m_nodes) {
            if (node)
                node->gateway.wake();
        }
    }

    /// Quarantine loaded from the store; the first gateway that ticks takes it.
    Cluster::SharedQuarantine m_store_quarantine;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

}
