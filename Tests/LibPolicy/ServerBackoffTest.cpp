// Guards against requests during a backoff, and against a burst of them at its end.
#include "BackoffSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};

}

TEST(ServerBackoff, DoesNothingWithoutARejection)
{
    ServerBackoff backoff;
    backoff.note_sent(s_start);
    EXPECT_EQ(backoff.next_send(s_start), s_start);
}

TEST(ServerBackoff, KeepsTheLongestOfOverlappingBackoffs)
{
    ServerBackoff backoff;
    backoff.note_rejected(3s, s_start);
    backoff.note_rejected(1s, s_start + 100ms);
    EXPECT_EQ(backoff.next_send(s_start + 200ms), s_start + 3s);
    EXPECT_TRUE(backoff.is_in_force(s_start + 2'999ms));
    EXPECT_FALSE(backoff.is_in_force(s_start + 3s));
}

TEST(ServerBackoff, ProbesUntilARequestIsAccepted)
{
    ServerBackoff backoff;
    backoff.note_rejected(1s, s_start);
    auto const end = s_start + 1s;
    EXPECT_EQ(backoff.next_send(end), end);
    backoff.note_sent(end);
    EXPECT_EQ(backoff.next_send(end + 1ms), end + ServerBackoff::s_probe_interval);
    // Answer to a request that was sent before the rejection.
    backoff.note_accepted(s_start - 1ms);
    EXPECT_GT(backoff.next_send(end + 1ms), end + 1ms);
    backoff.note_accepted(end);
    EXPECT_EQ(backoff.next_send(end + 2ms), end + 2ms);
}

TEST(ServerBackoff, StartsAgainWhenAProbeIsRejected)
{
    ServerBackoff backoff;
    backoff.note_rejected(1s, s_start);
    backoff.note_sent(s_start + 1s);
    backoff.note_rejected(1s, s_start + 1'010ms);
    EXPECT_EQ(backoff.next_send(s_start + 1'011ms), s_start + 2'010ms);
}

TEST(ServerBackoff, KeepsABackoffOfAnyLength)
{
    ServerBackoff backoff;
    backoff.note_rejected(std::chrono::hours(24 * 365), s_start);
    EXPECT_EQ(backoff.next_send(s_start), s_start + std::chrono::hours(24 * 365));
}

RC_GTEST_PROP(ServerBackoff, LimitsRequestsDuringABackoffAtAnyLoad, ())
{
    BackoffSettings settings;
    settings.backoff = Core::Milliseconds(*rc::gen::inRange(300, 5'000));
    settings.load = *rc::gen::element(5.0, 50.0, 500.0);
    settings.seed = *rc::gen::inRange<std::uint32_t>(0, 100'000);
    auto const outcome = BackoffSimulation(settings).simulate(BackoffStrategy::BackoffThenProbe);
    RC_ASSERT(outcome.max_requests_in_backoff <= 2U);
    RC_ASSERT(outcome.recovery_time.has_value());
    RC_ASSERT(*outcome.recovery_time <= settings.backoff + 1s);
}

}
