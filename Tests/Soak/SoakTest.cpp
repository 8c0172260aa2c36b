// A short run of the fault soak. Seeds that ever failed stay here, each with its cause.
#include "GatewaySoak.h"

#include <csignal>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

GatewaySoak::Report play(GatewaySoak::Options const& options)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto report = GatewaySoak(options).run();
    for (auto const& problem : report.problems)
        ADD_FAILURE() << problem;
    return report;
}

GatewaySoak::Options with_signals(unsigned seed, Core::Milliseconds length)
{
    GatewaySoak::Options options;
    options.seed = seed;
    options.length = length;
    options.gateways = 4;
    options.signals = GatewaySoak::Signals::Yes;
    return options;
}

}

TEST(SoakOfDrains, KeepsEveryPromise)
{
    GatewaySoak::Options options;
    options.seed = 11;
    options.length = Core::Milliseconds(5'000);
    options.drains = GatewaySoak::Drains::Yes;
    EXPECT_GT(play(options).answers.size(), 4U);
}

TEST(SoakOfSignals, KeepsEveryPromise)
{
    auto const report = play(with_signals(21, Core::Milliseconds(15'000)));
    EXPECT_GT(report.limited_arrivals, 0U);
    EXPECT_GT(report.left_alone, 0U);
    EXPECT_GT(report.backoffs, 0U);
}

TEST(SoakOfPrompts, KeepsEveryPromiseInAShortage)
{
    GatewaySoak::Options options;
    options.seed = 31;
    options.gateways = 4;
    options.length = Core::Milliseconds(6'000);
    options.prompts = GatewaySoak::Prompts::Yes;
    unsigned rejected = 0;
    for (auto const& [answer, count] : play(options).answers)
        rejected += answer.find("stream") != std::string::npos && answer.ends_with(" 503") ? count : 0;
    EXPECT_GT(rejected, 0U);
}

TEST(SoakOfReleases, MixesNoSoftwareVersionsInAStream)
{
    GatewaySoak::Options options;
    options.seed = 41;
    options.gateways = 4;
    options.backends = 6;
    options.length = Core::Milliseconds(10'000);
    options.releases = GatewaySoak::Releases::Yes;
    auto const report = play(options);
    EXPECT_GE(report.resumed, 12U);
    EXPECT_GE(2 * report.went_on, report.resumed);
}

TEST(SoakOfOddBytes, EndsNoGatewayAndPassesOnNoCutAnswer)
{
    GatewaySoak::Options options;
    options.seed = 51;
    options.gateways = 4;
    options.length = Core::Milliseconds(15'000);
    options.drains = GatewaySoak::Drains::Yes;
    options.odd_bytes = GatewaySoak::OddBytes::Yes;
    EXPECT_GT(play(options).odd_objects, 20U);
}

// All gateways are killed at once, again and again, while servers of three versions serve.
TEST(SoakOfReleases, MixesNoSoftwareVersionsWhereAllGatewaysAreKilled)
{
    GatewaySoak::Options options;
    options.seed = 43;
    options.gateways = 4;
    options.backends = 6;
    options.length = Core::Milliseconds(10'000);
    options.releases = GatewaySoak::Releases::Yes;
    options.joint_kills = GatewaySoak::JointKills::Yes;
    EXPECT_GE(play(options).resumed, 12U);
}

// A backend server is cut off while it rejects requests: no gateway receives its Retry-After.
TEST(SoakOfSignals, BindsNoGatewayByAnAnswerThatWasLost)
{
    EXPECT_GT(play(with_signals(4064, Core::Milliseconds(8'000))).backoffs, 0U);
}

class SoakSeeds : public ::testing::TestWithParam<unsigned> { };

TEST_P(SoakSeeds, KeepEveryPromise)
{
    GatewaySoak::Options options;
    options.seed = GetParam();
    options.length = Core::Milliseconds(5'000);
    EXPECT_GT(play(options).answers.size(), 4U);
}

INSTANTIATE_TEST_SUITE_P(Fixed, SoakSeeds, ::testing::Values(20261202U, 7U));

}
