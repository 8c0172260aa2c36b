// Tests for the decisions of a fleet of gateways in a shortage. The load: 24 workspaces ask for 0.91 of what a service
// can do, then one of them asks for twelve times its usual for fifteen seconds, which makes 1.3 times what the service
// can do.
#include "FleetSimulation.h"

#include <gtest/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;
using Testing::FleetLoad;
using Testing::FleetOutcome;
using Testing::FleetSimulation;

namespace {

constexpr AdmissionSettings s_all_on {true, true, true};
constexpr double s_flood = 12;
/// Most of this is lost in the first second, before the shortage shows.
constexpr double s_max_lost_by_others = 0.02;

FleetLoad flood(AdmissionSettings settings)
{
    FleetLoad load;
    load.flood = s_flood;
    load.settings = settings;
    return load;
}

/// Returns the part of the requests of all workspaces but the flooding one that were not in time.
double lost_by_others(FleetLoad const& load)
{
    FleetSimulation simulation(load);
    auto const others = simulation.simulate().others(simulation.flooding());
    return 1 - static_cast<double>(others.in_time) / others.requested;
}

unsigned rejected_again(FleetLoad const& load)
{
    unsigned sum = 0;
    for (auto const& [workspace, counts] : FleetSimulation(load).simulate().workspaces)
        sum += counts.rejected_again;
    return sum;
}

struct Spread {
    double least {1};
    double most {0};
};

/// Returns the least and the greatest part of its requests that any gateway rejected.
Spread rejected_by_gateways(FleetOutcome const& outcome)
{
    Spread spread;
    for (auto const& [gateway, counts] : outcome.gateways) {
        auto const part = static_cast<double>(counts.rejected) / counts.requested;
        spread.least = std::min(spread.least, part);
        spread.most = std::max(spread.most, part);
    }
    return spread;
}

}

TEST(FleetAdmission, AFloodCostsOthersFewRequests)
{
    // Without shares the others lose as large a part as the workspace that floods: 0.51.
    EXPECT_GT(lost_by_others(flood({})), 0.4);
    EXPECT_LT(lost_by_others(flood(s_all_on)), s_max_lost_by_others);
}

TEST(FleetAdmission, AFloodAtASingleGatewayCostsOthersFewRequests)
{
    auto load = flood(s_all_on);
    load.flood_at_first_gateway = 1;
    // 0.040; the gateway's own samples and those of the others differ more.
    EXPECT_LT(lost_by_others(load), 0.05);
}

TEST(FleetAdmission, RejectsNothingWhileThereIsRoom)
{
    FleetLoad load;
    load.settings = s_all_on;
    // Twelve times its usual, and still within what the service can do.
    load.flood = s_flood;
    load.requests_per_second = 300;
    auto const outcome = FleetSimulation(load).simulate();
    for (auto const& [workspace, counts] : outcome.workspaces)
        EXPECT_EQ(counts.rejected, 0U) << workspace;
}

TEST(FleetAdmission, DoesNotPunishAWorkspaceAfterItsBurst)
{
    auto const outcome = FleetSimulation(flood(s_all_on)).simulate();
    EXPECT_GT(outcome.flooding_after.requested, 0U);
    EXPECT_EQ(outcome.flooding_after.rejected, 0U);
}

TEST(FleetAdmission, GivesTheFloodingWorkspaceItsShare)
{
    FleetSimulation simulation(flood(s_all_on));
    auto const outcome = simulation.simulate();
    auto const& flooding = outcome.workspaces.at(simulation.flooding());
    // The room that the others leave is 0.28 of what it asks for; a part of it serves callers that return.
    EXPECT_GT(flooding.in_time, flooding.requested / 6);
}

TEST(FleetAdmission, RejectsAlikeAtAllGateways)
{
    // 1.4 times the capacity, three quarters of it at one half of the gateways.
    FleetLoad load;
    load.requests_per_second = 770;
    load.first_half = 0.75;
    auto const alone = rejected_by_gateways(FleetSimulation(load).simulate());
    load.settings = s_all_on;
    auto const together = rejected_by_gateways(FleetSimulation(load).simulate());
    EXPECT_LT(together.most, together.least * 1.5);
    EXPECT_GT(alone.most, alone.least * 1.5);
}

TEST(FleetAdmission, HalvesTheCallersThatAreRejectedAgain)
{
    // 0.7 of the capacity, and 1.6 times the capacity for three seconds.
    FleetLoad load;
    load.requests_per_second = 400;
    load.burst = 2.2;
    load.settings = {false, true, false};
    auto const before = rejected_again(load);
    load.settings = {false, true, true};
    EXPECT_LT(rejected_again(load), before / 2);
}

TEST(FleetAdmission, SurvivesARestartOfHalfOfTheGateways)
{
    auto load = flood(s_all_on);
    load.restart = FleetSimulation::s_flood_start + 3s;
    // 0.059; gateways without samples admit some requests on trial.
    EXPECT_LT(lost_by_others(load), 0.07);
}

TEST(FleetAdmission, GatewaysThatAreCutOffStillAdmitWhatTheyCan)
{
    auto load = flood(s_all_on);
    load.is_connected = false;
    EXPECT_LE(lost_by_others(load), lost_by_others(flood({})));
}

}
