// A short run of the soak of repeated sends, with the shapes of both deployments.
#include "BudgetSoak.h"

#include <csignal>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class BudgetSoakSeeds : public ::testing::TestWithParam<BudgetSoak::Shape> {
protected:
    void SetUp() override { std::signal(SIGPIPE, SIG_IGN); }
};

}

TEST_P(BudgetSoakSeeds, KeepEveryPromise)
{
    BudgetSoak::Options options;
    options.seed = 5;
    options.shape = GetParam();
    options.length = 15s;
    options.deadly = BudgetSoak::DeadlyRequests {};
    auto const report = BudgetSoak(options).run();
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    EXPECT_GT(report.peaks.at(BudgetSoak::s_engine_service).repeats, 0U);
}

TEST_P(BudgetSoakSeeds, LimitSendsOfARequestWhoseUnframedAnswersEndInCrashes)
{
    BudgetSoak::Options options;
    options.seed = 501;
    options.shape = GetParam();
    options.has_immediate_restarts = true;
    BudgetSoak soak(options);
    BudgetSoak::DeadlyRequests deadly;
    deadly.moment = BudgetBackend::CrashMoment::AfterEvent;
    deadly.is_framed = false;
    auto const report = soak.run([&] {
        soak.send_deadly_requests(deadly, 12s);
        soak.pass(12s);
    });
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    EXPECT_EQ(report.crashing_subjects, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    HrubecPayAndPwaniCharts, BudgetSoakSeeds, ::testing::Values(BudgetSoak::s_hrubec_pay, BudgetSoak::s_pwani_charts));

}
