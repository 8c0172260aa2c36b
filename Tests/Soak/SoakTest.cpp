// A short run of the fault soak. Seeds that ever failed stay here, each with its cause.
#include "GatewaySoak.h"

#include <csignal>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

TEST(SoakOfDrains, KeepsEveryPromise)
{
    std::signal(SIGPIPE, SIG_IGN);
    GatewaySoak::Options options;
    options.seed = 11;
    options.length = Core::Milliseconds(5'000);
    options.drains = GatewaySoak::Drains::Yes;
    auto const report = GatewaySoak(options).run();
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    EXPECT_GT(report.answers.size(), 4U);
}

TEST(SoakOfSignals, KeepsEveryPromise)
{
    std::signal(SIGPIPE, SIG_IGN);
    GatewaySoak::Options options;
    options.seed = 21;
    options.length = Core::Milliseconds(15'000);
    options.gateways = 4;
    options.signals = GatewaySoak::Signals::Yes;
    auto const report = GatewaySoak(options).run();
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    EXPECT_GT(report.limited_arrivals, 0U);
    EXPECT_GT(report.left_alone, 0U);
    EXPECT_GT(report.backoffs, 0U);
}

// A backend server is cut off while it rejects requests: no gateway receives its Retry-After.
TEST(SoakOfSignals, BindsNoGatewayByAnAnswerThatWasLost)
{
    std::signal(SIGPIPE, SIG_IGN);
    GatewaySoak::Options options;
    options.seed = 4064;
    options.length = Core::Milliseconds(8'000);
    options.gateways = 4;
    options.signals = GatewaySoak::Signals::Yes;
    auto const report = GatewaySoak(options).run();
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    EXPECT_GT(report.backoffs, 0U);
}

class SoakSeeds : public ::testing::TestWithParam<unsigned> { };

TEST_P(SoakSeeds, KeepEveryPromise)
{
    std::signal(SIGPIPE, SIG_IGN);
    GatewaySoak::Options options;
    options.seed = GetParam();
    options.length = Core::Milliseconds(5'000);
    auto const report = GatewaySoak(options).run();
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    EXPECT_GT(report.answers.size(), 4U);
}

INSTANTIATE_TEST_SUITE_P(Fixed, SoakSeeds, ::testing::Values(20261202U, 7U));

}
