// Guards against repeats that wait unread at servers which do not read for many seconds, and arrive together.
#include "BudgetSoak.h"

#include <csignal>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class Stalls : public ::testing::Test {
protected:
    static constexpr Core::Milliseconds s_stall {40'000};

    void SetUp() override { std::signal(SIGPIPE, SIG_IGN); }

    static BudgetSoak::Options options(BudgetSoak::Shape shape)
    {
        BudgetSoak::Options options;
        options.shape = shape;
        options.callers = 60;
        return options;
    }

    static void expect_kept(BudgetSoak::Report const& report)
    {
        for (auto const& problem : report.problems)
            ADD_FAILURE() << problem;
        EXPECT_GT(report.peaks.at(BudgetSoak::s_plain_service).repeats, 0U);
    }
};

class StalledServers : public Stalls, public ::testing::WithParamInterface<BudgetSoak::Shape> { };

}

TEST_P(StalledServers, DoNotReceiveTheRepeatsOfSeveralWindowsAtOnce)
{
    BudgetSoak soak(options(GetParam()));
    expect_kept(soak.run([&] {
        soak.pass(3s);
        soak.stall_service(BudgetSoak::s_plain_service, s_stall);
        soak.pass(s_stall + 1s);
    }));
}

TEST_F(Stalls, DoNotCollectTheRepeatsOfGatewaysThatAreKilledMeanwhile)
{
    BudgetSoak soak(options(BudgetSoak::s_hrubec_pay));
    expect_kept(soak.run([&] {
        soak.pass(3s);
        soak.stall_service(BudgetSoak::s_plain_service, s_stall);
        soak.kill_gateways_in_turn(1'200ms, s_stall);
        soak.pass(2s);
    }));
}

INSTANTIATE_TEST_SUITE_P(
    HrubecPayAndPwaniCharts, StalledServers, ::testing::Values(BudgetSoak::s_hrubec_pay, BudgetSoak::s_pwani_charts));

}
