// Guards against gateways that together exceed a rate limit.
#include "LimitSimulation.h"

#include <limits>

#include <gtest/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t s_server = 5;
Core::MonotonicTime const s_start {1h};

void expect_kept(LimitSettings const& settings)
{
    auto const outcome = LimitSimulation(settings).simulate(LimitStrategy::RotatingSenders);
    for (auto const& finding : outcome.findings)
        ADD_FAILURE() << settings.gateways << " gateways, seed " << settings.seed << ": " << finding;
    // The limit must be used, since callers have enough requests.
    EXPECT_GT(outcome.used_fraction, 0.7) << settings.gateways << " gateways, " << settings.rate << " a second";
}

}

TEST(LimitShares, KeepsALimitWithAnyNumberOfGateways)
{
    for (std::size_t const gateways : {1U, 2U, 4U, 7U, 30U, 300U}) {
        for (double const rate : {0.5, 1.0, 1.4, 3.7, 12.5})
            expect_kept(flood(gateways, rate));
    }
}

TEST(LimitShares, FindsTheEndOfALimitThroughFewGatewaysWithRequests)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        LimitSettings settings;
        settings.active_fraction = 0.1;
        settings.limit_time = 10s;
        settings.length = 180s;
        settings.seed = seed;
        auto const outcome = LimitSimulation(settings).simulate(LimitStrategy::RotatingSenders);
        EXPECT_TRUE(outcome.detection_time) << "seed " << seed;
    }
}

TEST(LimitShares, GivesNoShareBeforeTheMembershipIsKnown)
{
    LimitShares shares;
    SharedRateLimit const limit {5, s_start};
    EXPECT_EQ(shares.next_send(s_server, limit, s_start), Core::MonotonicTime::max());
    shares.set_gateways(1, {});
    EXPECT_EQ(shares.next_send(s_server, limit, s_start), s_start);
    shares.forget_gateways();
    EXPECT_EQ(shares.next_send(s_server, limit, s_start), Core::MonotonicTime::max());
}

TEST(LimitShares, ReturnsTheTimeOfTheNextRequest)
{
    LimitShares shares;
    shares.set_gateways(1, {});
    SharedRateLimit const limit {0.5, s_start};
    shares.note_sent(s_server, limit, s_start);
    EXPECT_EQ(shares.next_send(s_server, limit, s_start + 500ms), s_start + 2s);
    EXPECT_FALSE(shares.may_send(s_server, limit, s_start + 1'999ms));
    EXPECT_TRUE(shares.may_send(s_server, limit, s_start + 2s));
}

// The returned time is sent to callers as Retry-After.
TEST(LimitShares, AllowsARequestAtTheReturnedTime)
{
    for (std::uint64_t self = 0; self < 30; ++self) {
        LimitShares shares;
        std::vector<std::uint64_t> others;
        for (std::uint64_t other = 0; other < 30; ++other) {
            if (other != self)
                others.push_back(other);
        }
        shares.set_gateways(self, std::move(others));
        SharedRateLimit const limit {0.7, s_start};
        auto const next = shares.next_send(s_server, limit, s_start + 1s);
        EXPECT_TRUE(shares.may_send(s_server, limit, next)) << self;
    }
}

TEST(LimitShares, ProbesAServerWithALimitOfZero)
{
    LimitShares shares;
    shares.set_gateways(1, {});
    SharedRateLimit const limit {0, s_start};
    EXPECT_TRUE(shares.may_send(s_server, limit, s_start));
    shares.note_sent(s_server, limit, s_start);
    EXPECT_FALSE(shares.may_send(s_server, limit, s_start + 5s));
    EXPECT_TRUE(shares.may_send(s_server, limit, s_start + 11s));
}

TEST(LimitShares, AllowsBurstsAtHighLimits)
{
    LimitShares shares;
    shares.set_gateways(1, {2, 3, 4});
    SharedRateLimit const limit {200, s_start};
    auto const now = s_start + 1s;
    for (int number = 0; number < 20; ++number) {
        EXPECT_TRUE(shares.may_send(s_server, limit, now)) << number;
        shares.note_sent(s_server, limit, now);
    }
}

TEST(LimitShares, SendsNowAtARateThatNoIntervalCanHold)
{
    Core::MonotonicTime const now(std::chrono::hours(100));
    for (double const rate : {1e6, 1e9, 1e12, 1e100, 1e300, 1e308, std::numeric_limits<double>::max()}) {
        LimitShares shares;
        shares.set_gateways(1, {2, 3});
        SharedRateLimit const limit {rate, now - std::chrono::hours(1)};
        for (int send = 0; send < 100; ++send) {
            auto const next = shares.next_send(7, limit, now);
            EXPECT_GE(next, now) << rate;
            EXPECT_LE(next, now + std::chrono::milliseconds(1)) << rate;
            shares.note_sent(7, limit, now);
        }
    }
}

}
