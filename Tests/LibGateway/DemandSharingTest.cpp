// Tests the exchange of demand, samples of waits and times to return among gateways, with lost datagrams, dead relays
// and gateways that are cut off.
#include "LoadFleet.h"

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

using Policy::FleetDemand;
using Policy::ShareStanding;

namespace {

/// Longest time until all gateways have the demand: a report, and the relays' exchange.
constexpr Core::Milliseconds s_max_report_time = DemandSharing::s_min_interval * 2 + s_max_propagation_time;
std::string const s_service {"svc"};

/// A fleet whose gateways share their admission control.
class DemandSharingTest : public LoadFleet {
protected:
    DemandSharingTest()
    {
        for (auto& node : m_nodes)
            switch_on(*node);
    }

    static void switch_on(Node& node) { node.admission.set_settings({true, true, true}); }

    /// Records requests at a gateway, half of which were rejected.
    void note(std::size_t number, std::string const& workspace, int count, double work = 100)
    {
        FleetDemand::Request const request {s_service, workspace, {2}, work};
        for (int index = 0; index < count; ++index) {
            auto const verdict = index % 2 == 0 ? FleetDemand::Verdict::InTime : FleetDemand::Verdict::Rejected;
            node(number).admission.demand().note(request, verdict, FleetDemand::ClassState::Open, m_now);
        }
    }

    [[nodiscard]] unsigned requested_at(Node& node) const
    {
        unsigned sum = 0;
        for (auto const& [admission_class, counts] : node.admission.demand().total(s_service, m_now).classes)
            sum += counts.requested;
        return sum;
    }

    [[nodiscard]] ShareStanding standing_at(Node& node, std::string const& workspace) const
    {
        auto const summary = node.admission.summary(s_service, m_now);
        return node.admission.shares().standing(summary.demand, summary.level, workspace);
    }

    /// One workspace asks each gateway for ten times what the others ask for, for some seconds.
    void flood(Core::Milliseconds duration)
    {
        for (auto const end = m_now + duration; m_now < end; advance(100ms)) {
            for (std::size_t number = 0; number < m_count; ++number) {
                if (!node(number).is_alive)
                    continue;
                note(number, "flooding", 10);
                for (int other = 0; other < 5; ++other)
                    note(number, "other-" + std::to_string(other), 1);
            }
        }
    }

    [[nodiscard]] std::vector<std::string> gateways_that_miss_the_flood()
    {
        std::vector<std::string> names;
        for (auto const& node : m_nodes) {
            bool const is_right = standing_at(*node, "flooding") == ShareStanding::Beyond
                && standing_at(*node, "other-1") == ShareStanding::Within;
            if (node->is_alive && !is_right)
                names.push_back(node->address);
        }
        return names;
    }
};

using Names = std::vector<std::string>;

}

TEST_F(DemandSharingTest, TellsAllGatewaysOfAFlood)
{
    flood(2s);
    EXPECT_EQ(gateways_that_miss_the_flood(), Names());
}

TEST_F(DemandSharingTest, TellsAllGatewaysOfAFloodAtOneOfThem)
{
    for (int count = 0; count < 20; ++count) {
        note(7, "flooding", 40);
        for (std::size_t number = 0; number < m_count; ++number)
            note(number, "other-1", 1);
        advance(100ms);
    }
    EXPECT_EQ(gateways_that_miss_the_flood(), Names());
}

TEST_F(DemandSharingTest, SurvivesLostDatagrams)
{
    m_loss = 0.3;
    flood(4s);
    EXPECT_EQ(gateways_that_miss_the_flood(), Names());
}

TEST_F(DemandSharingTest, SurvivesTheDeathOfHalfOfTheGateways)
{
    flood(1s);
    for (std::size_t number = 0; number < m_count; number += 2)
        node(number).is_alive = false;
    flood(3s);
    EXPECT_EQ(gateways_that_miss_the_flood(), Names());
}

TEST_F(DemandSharingTest, TellsAGatewayThatHasJustStarted)
{
    flood(2s);
    m_nodes[5] = make_node(5);
    switch_on(*m_nodes[5]);
    connect_all();
    flood(1s);
    EXPECT_EQ(gateways_that_miss_the_flood(), Names());
}

TEST_F(DemandSharingTest, ForgetsAShortageThatHasEnded)
{
    flood(2s);
    advance(FleetDemand::s_shortage_retention + FleetDemand::s_report_expiry);
    for (auto const& node : m_nodes) {
        EXPECT_FALSE(node->admission.demand().has_shortage(s_service, m_now));
        EXPECT_EQ(requested_at(*node), 0U);
    }
}

TEST_F(DemandSharingTest, SharesNothingWithoutAShortage)
{
    FleetDemand::Request const request {s_service, "a", {2}, 100};
    for (auto const& node : m_nodes)
        node->admission.demand().note(request, FleetDemand::Verdict::InTime, FleetDemand::ClassState::Open, m_now);
    advance(s_max_report_time);
    for (auto const& node : m_nodes)
        EXPECT_LE(requested_at(*node), 1U);
}

TEST_F(DemandSharingTest, SharesSamplesOfWaitsWithAllGateways)
{
    for (int count = 0; count < 20; ++count) {
        node(0).admission.note_wait(
            s_service, "case", Policy::FractionalMilliseconds(100), Policy::FractionalMilliseconds(800), m_now);
        advance(100ms);
    }
    for (auto const& node : m_nodes) {
        Policy::AdmissionRequest const request {s_service, "case", 2, Policy::FractionalMilliseconds(0),
            Policy::FractionalMilliseconds(300), Policy::FractionalMilliseconds(1'000),
            Policy::FractionalMilliseconds(5'000)};
        EXPECT_TRUE(node->admission.check(request, 0.5, m_now)) << node->address;
    }
}

TEST_F(DemandSharingTest, RecognizesReturningCallersWithinTheFailureDomain)
{
    auto const due = m_now + 1s;
    node(4).admission.return_line().add(7, due);
    advance(s_max_report_time);
    for (auto const& node : m_nodes) {
        bool const is_same_domain = node->member.group == this->node(4).member.group;
        EXPECT_EQ(node->admission.return_line().size(), is_same_domain ? 1U : 0U) << node->address;
    }
    node(4).is_alive = false;
    advance(1s);
    EXPECT_TRUE(node(1).admission.return_line().claim(7, m_now));
}

TEST_F(DemandSharingTest, DropsMalformedReports)
{
    LoadSharing::Datagram datagram;
    datagram.set_protocol_version(Protocol::s_protocol_version);
    auto& report = *datagram.mutable_report();
    report.set_sender(99);
    report.set_sequence(1);
    auto& counts = *report.mutable_demand()->add_services()->add_classes();
    counts.set_requested(1);
    counts.set_late(2);
    EXPECT_FALSE(node(0).sharing.receive(datagram, node(1).address, m_now));
    counts.set_late(1);
    counts.set_rank(10);
    EXPECT_FALSE(node(0).sharing.receive(datagram, node(1).address, m_now));
    counts.set_rank(9);
    EXPECT_TRUE(node(0).sharing.receive(datagram, node(1).address, m_now));
    report.mutable_demand()->add_wait_classes(1);
    EXPECT_FALSE(node(0).sharing.receive(datagram, node(1).address, m_now));
}

TEST_F(DemandSharingTest, BoundsItsMessages)
{
    flood(500ms);
    std::size_t largest = 0;
    for (int count = 0; count < 20; ++count) {
        for (int workspace = 0; workspace < 200; ++workspace)
            note(0, "workspace-" + std::to_string(workspace), 2);
        for (unsigned request = 1; request <= 200; ++request)
            node(0).admission.return_line().add(request, m_now + 1s);
        advance(50ms);
        DemandSharing::Message message;
        DemandSharing(node(0).admission).fill_report(message, m_now);
        largest = std::max(largest, message.ByteSizeLong());
        EXPECT_TRUE(DemandSharing::is_within_bounds(message));
    }
    EXPECT_LT(largest, 1'000U);
}

// Gateways on which sharing is off send and apply nothing.
TEST_F(DemandSharingTest, DoesNothingWhileItIsOff)
{
    for (auto const& node : m_nodes)
        node->admission.set_settings({});
    flood(2s);
    DemandSharing::Message message;
    DemandSharing(node(0).admission).fill_report(message, m_now);
    EXPECT_EQ(message.ByteSizeLong(), 0U);
    EXPECT_EQ(node(0).admission.demand().source_count(), 0U);
}

}
