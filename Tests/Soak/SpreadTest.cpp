// Changes of the configuration on their way through a fleet of processes with the deployed settings.
//
// What users saw: requests refused as only an older configuration allows, later than promised, on most runs of a
// deployment whose configuration grows by 1,400 routes and of whose 30 gateways 24 have 0.09 of a core and 10 Mbit/s;
// and one request that reached a server which had said that it leaves. Order of events and evidence: PeerExchangeTest.
// Here the fleet has the same hosts and growth and no fault at all; before the mend the judge found 31 and 73 requests
// in two runs, handled by versions that had been replaced 3.0 s to 4.9 s before.
#include "ConfigurationTrail.h"
#include "ContactBook.h"
#include "SettingsTemplate.h"
#include "SpreadSoak.h"

#include <csignal>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

constexpr double s_small_share = 0.09;
constexpr std::size_t s_small_link = 1'250'000;

void expect_kept(SpreadSoak::Options const& options)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const report = SpreadSoak(options).run();
    for (auto const& problem : report.problems)
        ADD_FAILURE() << "seed " << options.seed << ": " << problem;
    EXPECT_GT(report.changes, 4U);
    EXPECT_GT(report.answers.at("200"), 500U);
}

}

TEST(Spread, AConfigurationThatGrowsIsInForceInTimeOnSmallHosts)
{
    SpreadSoak::Options options;
    options.seed = 2;
    options.length = 15s;
    options.gateways = 30;
    options.most_routes = 4'200;
    options.growth = 1'400;
    options.processor_share = s_small_share;
    options.link_rate = s_small_link;
    options.has_faults = false;
    expect_kept(options);
}

// Kills, cuts from the store and between gateways, slow hosts, resets, a store whose watches hear nothing: each change
// holds in time at every gateway that the users' rule counts as in touch. Seeds that ever fail stay here.
class SpreadSeeds : public ::testing::TestWithParam<unsigned> { };

TEST_P(SpreadSeeds, KeepEveryPromiseUnderFaults)
{
    SpreadSoak::Options options;
    options.seed = GetParam();
    options.length = 15s;
    options.gateways = 12;
    expect_kept(options);
}

TEST(Spread, WhatServersStateIsHeededWhileGatewaysAndTheStoreFail)
{
    SpreadSoak::Options options;
    options.seed = 201;
    options.length = 20s;
    options.gateways = 12;
    options.has_signals = true;
    expect_kept(options);
}

TEST(Spread, ServersThatLeaveInSeriesGetNoRequestsWhileWatchersAndRelaysFail)
{
    SpreadSoak::Options options;
    options.seed = 801;
    options.length = 20s;
    options.gateways = 12;
    options.backends = 6;
    options.callers = 2;
    options.has_leaving_series = true;
    expect_kept(options);
}

INSTANTIATE_TEST_SUITE_P(Fixed, SpreadSeeds, ::testing::Values(102U, 105U));

}
