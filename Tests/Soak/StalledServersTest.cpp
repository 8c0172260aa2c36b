// Guards against repeats that wait unread at servers which do not read for many seconds, and arrive together.
#include "BudgetSoak.h"

#include <csignal>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class StalledServers : public ::testing::TestWithParam<BudgetSoak::Shape> {
protected:
    void SetUp() override { std::signal(SIGPIPE, SIG_IGN); }
};

}

TEST_P(StalledServers, DoNotReceiveTheRepeatsOfSeveralWindowsAtOnce)
{
    BudgetSoak::Options options;
    options.shape = GetParam();
    options.callers = 60;
    BudgetSoak soak(options);
    auto const report = soak.run([&] {
        soak.pass(3s);
        soak.stall_service(BudgetSoak::s_plain_service, 40s);
        soak.pass(41s);
    });
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    EXPECT_GT(report.peaks.at(BudgetSoak::s_plain_service).repeats, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    HrubecPayAndPwaniCharts, StalledServers, ::testing::Values(BudgetSoak::s_hrubec_pay, BudgetSoak::s_pwani_charts));

}
