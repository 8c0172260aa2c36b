// Tests for the weighted max-min shares of workspaces and for the demand that gateways share.
#include <LibPolicy/WorkspaceShares.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
std::string const s_service {"svc"};

std::string name_of(std::size_t number)
{
    return "workspace-" + std::to_string(number);
}

/// Demand of workspaces with these requested rates, of which `admitted` in total was admitted, the same part of each.
ServiceDemand make_demand(std::vector<double> const& requested, double admitted)
{
    ServiceDemand demand;
    demand.total = {std::accumulate(requested.begin(), requested.end(), 0.0), admitted};
    for (std::size_t number = 0; number < requested.size(); ++number) {
        auto const part = admitted / demand.total.requested;
        demand.workspaces[hash_name(name_of(number))] = {requested[number], requested[number] * part};
    }
    return demand;
}

FleetDemand::Request request_of(std::string const& workspace, double work = 100)
{
    return {s_service, workspace, {}, work};
}

}

TEST(WorkspaceShares, HaveNoLevelWhileAllDemandIsAdmitted)
{
    WorkspaceShares const shares;
    auto const demand = make_demand({10, 1'000}, 1'010);
    EXPECT_TRUE(std::isinf(shares.level(demand)));
    EXPECT_EQ(shares.standing(demand, shares.level(demand), name_of(1)), ShareStanding::Within);
}

TEST(WorkspaceShares, LimitOnlyTheWorkspaceThatFloods)
{
    WorkspaceShares const shares;
    auto const demand = make_demand({100, 100, 100, 1'200}, 700);
    auto const level = shares.level(demand);
    EXPECT_DOUBLE_EQ(level, 400);
    EXPECT_EQ(shares.standing(demand, level, name_of(0)), ShareStanding::Within);
    EXPECT_EQ(shares.standing(demand, level, name_of(3)), ShareStanding::Beyond);
    EXPECT_GT(shares.time_until_within(demand, level, name_of(3)), 0ms);
    EXPECT_EQ(shares.time_until_within(demand, level, name_of(0)), 0ms);
}

TEST(WorkspaceShares, FollowAChangeOfTheWeights)
{
    WorkspaceShares shares;
    auto const demand = make_demand({1'000, 1'000}, 1'200);
    EXPECT_DOUBLE_EQ(shares.level(demand), 600);
    shares.set_weights({{hash_name(name_of(0)), 3}});
    auto const level = shares.level(demand);
    EXPECT_DOUBLE_EQ(level, 300);
    EXPECT_EQ(shares.standing(demand, level, name_of(0)), ShareStanding::Within);
    EXPECT_EQ(shares.standing(demand, level, name_of(1)), ShareStanding::Beyond);
}

TEST(WorkspaceShares, CountUnlistedWorkspacesAsLargeAsTheSmallestListed)
{
    WorkspaceShares const shares;
    auto demand = make_demand({100, 900}, 1'000);
    demand.total = {2'000, 1'600};
    // The other 1,000 come from ten workspaces of 100 at least; all of them are within their share.
    EXPECT_DOUBLE_EQ(shares.level(demand), 500);
}

RC_GTEST_PROP(WorkspaceShares, AdmitAllWorkThatThereIsRoomForAndNobodyLessThanAnEqualShare, ())
{
    auto const count = *rc::gen::inRange<std::size_t>(1, 24);
    auto const requested = *rc::gen::container<std::vector<double>>(
        count, rc::gen::map(rc::gen::inRange(1, 10'000), [](int rate) { return static_cast<double>(rate); }));
    auto const sum = std::accumulate(requested.begin(), requested.end(), 0.0);
    auto const admitted = sum * *rc::gen::inRange(1, 100) / 100;
    std::vector<unsigned> weights;
    WorkspaceShares::Weights by_workspace;
    double weight_sum = 0;
    for (std::size_t number = 0; number < count; ++number) {
        weights.push_back(*rc::gen::inRange(1U, 10U));
        by_workspace[hash_name(name_of(number))] = weights.back();
        weight_sum += weights.back();
    }
    WorkspaceShares shares;
    shares.set_weights(by_workspace);
    auto const level = shares.level(make_demand(requested, admitted));
    double given = 0;
    for (std::size_t number = 0; number < count; ++number)
        given += std::min(requested[number], level * weights[number]);
    RC_ASSERT(std::abs(given - admitted) < sum * 1e-9);
    RC_ASSERT(level * weight_sum >= admitted * (1 - 1e-9));
}

TEST(FleetDemand, IsReportedOnlyDuringAShortage)
{
    FleetDemand demand;
    demand.note(request_of("a"), FleetDemand::Verdict::InTime, FleetDemand::ClassState::Open, s_start);
    EXPECT_TRUE(demand.own_report(s_start).empty());
    demand.note(request_of("a"), FleetDemand::Verdict::Rejected, FleetDemand::ClassState::Open, s_start);
    EXPECT_EQ(demand.own_report(s_start).size(), 1U);
    demand.remove_silent(s_start + FleetDemand::s_shortage_retention);
    EXPECT_TRUE(demand.own_report(s_start + FleetDemand::s_shortage_retention).empty());
}

TEST(FleetDemand, SumsUpGatewaysAndForgetsSilentOnes)
{
    FleetDemand relay;
    for (std::uint64_t gateway = 1; gateway <= 3; ++gateway) {
        FleetDemand other;
        other.note(request_of("a"), FleetDemand::Verdict::Rejected, FleetDemand::ClassState::Open, s_start);
        other.note(request_of("a"), FleetDemand::Verdict::InTime, FleetDemand::ClassState::Open, s_start);
        relay.receive_from_gateway(gateway, other.own_report(s_start), s_start);
    }
    auto const report = relay.relayed_report(s_start);
    ASSERT_EQ(report.size(), 1U);
    auto const& sum = report.begin()->second;
    EXPECT_EQ(sum.classes.at({}), (ClassCounts {6, 3, 3, 3}));
    EXPECT_NEAR(sum.total.requested, 2 * sum.total.admitted, 1e-9);
    auto const later = s_start + FleetDemand::s_report_expiry + 1ms;
    relay.remove_silent(later);
    EXPECT_TRUE(relay.relayed_report(later).empty());
}

TEST(FleetDemand, StaysBoundedWithManyWorkspaces)
{
    constexpr std::size_t workspaces = 6'700;
    FleetDemand demand;
    for (std::size_t number = 0; number < workspaces; ++number)
        demand.note(
            request_of(name_of(number)), FleetDemand::Verdict::Rejected, FleetDemand::ClassState::Open, s_start);
    for (int count = 0; count < 50; ++count)
        demand.note(request_of(name_of(7)), FleetDemand::Verdict::Rejected, FleetDemand::ClassState::Open, s_start);
    auto const report = demand.own_report(s_start);
    auto const& sum = report.begin()->second;
    EXPECT_LE(sum.workspaces.size(), FleetDemand::s_max_reported_workspaces);
    EXPECT_TRUE(sum.workspaces.contains(hash_name(name_of(7))));
    EXPECT_EQ(sum.classes.begin()->second.requested, workspaces + 50);
    EXPECT_LE(demand.total(s_service, s_start).workspaces.size(), FleetDemand::s_max_known_workspaces);
}

TEST(FleetDemand, ForgetsABurstWithinSeconds)
{
    FleetDemand demand;
    for (int count = 0; count < 100; ++count)
        demand.note(request_of("a"), FleetDemand::Verdict::InTime, FleetDemand::ClassState::Open, s_start);
    auto const before = demand.total(s_service, s_start).total.admitted;
    EXPECT_LT(demand.total(s_service, s_start + 10s).total.admitted, before / 30);
}

}
