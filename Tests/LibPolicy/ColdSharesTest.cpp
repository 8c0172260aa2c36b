// Fourteen engines of a failure domain came back at once, empty and cold. Each of thirty gateways found them the best
// of all, none saw what the others sent, and one engine got 15 requests in a second where it bears 5.9.
#include "ColdWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
constexpr std::uint64_t s_server = 5;
/// Enough that every gateway always has a request for every cold server.
constexpr double s_flood = 10'000;

ColdOutcome flood(std::size_t gateways, double unknown, double begun, std::uint32_t seed)
{
    ColdSettings settings;
    settings.gateways = gateways;
    settings.load = s_flood;
    settings.unknown = unknown;
    settings.begun = begun;
    settings.seed = seed;
    return ColdWorld(settings).play(ColdWay::NamedSenders);
}

}

TEST(ColdShares, NoSecondHasMoreThanTheRateHoweverManyGatewaysSend)
{
    for (std::size_t const gateways : {1U, 2U, 30U, 357U, 950U}) {
        auto const outcome = flood(gateways, 0, 0, 1);
        EXPECT_LE(outcome.most_in_a_second, 5U) << gateways;
        EXPECT_EQ(outcome.unused, 0U) << gateways;
    }
}

TEST(ColdShares, GatewaysThatHaveJustBegunAddNothing)
{
    for (std::size_t const gateways : {30U, 357U}) {
        auto const outcome = flood(gateways, 0, 0.5, 2);
        EXPECT_LE(outcome.most_in_a_second, 5U) << gateways;
    }
}

// Views differ for a while after gateways come or go. What a cold server bears "well above" its rate is not known;
// twice the rate is the bound that is kept here.
RC_GTEST_PROP(ColdShares, GatewaysThatDoNotKnowATenthOfTheOthersStayBelowTwiceTheRate, ())
{
    auto const seed = *rc::gen::inRange<std::uint32_t>(0, 100'000);
    auto const gateways = *rc::gen::element<std::size_t>(30, 100, 357);
    RC_ASSERT(flood(gateways, 0.1, 0, seed).most_in_a_second <= 11U);
}

// As callers' load is, with each gateway's own part of it: cold servers serve what they bear, as far as that comes to
// their senders.
TEST(ColdShares, ColdServersAreUsed)
{
    auto const outcome = ColdWorld({}).play(ColdWay::NamedSenders);
    EXPECT_EQ(outcome.unused, 0U);
    EXPECT_GE(outcome.taken, outcome.requests / 5);
}

TEST(ColdShares, WhoKnowsNobodySendsNothing)
{
    ColdShares shares;
    EXPECT_FALSE(shares.may_send(s_server, 100, s_start));
    shares.set_gateways(1, {});
    EXPECT_TRUE(shares.may_send(s_server, 100, s_start));
    shares.forget_gateways();
    EXPECT_FALSE(shares.may_send(s_server, 100, s_start));
}

TEST(ColdShares, ARateBelowOneIsKeptAsWell)
{
    ColdShares shares;
    shares.set_gateways(1, {});
    shares.note_sent(s_server, s_start);
    EXPECT_FALSE(shares.may_send(s_server, 0.5, s_start + 1'900ms));
    EXPECT_TRUE(shares.may_send(s_server, 0.5, s_start + 2'100ms));
}

}
