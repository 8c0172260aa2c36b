// When an entry asks a peer for what it has beyond its own.
#include <LibEntry/PullSchedule.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Entry {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
constexpr Core::Milliseconds s_patience {600};

}

TEST(PullSchedule, WithoutPatienceTheFirstWordIsEnough)
{
    PullSchedule pulls;
    EXPECT_TRUE(pulls.should_pull(s_start, 0ms));
}

TEST(PullSchedule, OnePullIsUnderWayHoweverManyAnnounce)
{
    PullSchedule pulls;
    unsigned count = 0;
    for (auto time = s_start; time < s_start + PullSchedule::s_answer_limit; time += 1ms)
        count += pulls.should_pull(time, 0ms) ? 1 : 0;
    EXPECT_EQ(count, 1U);
    EXPECT_TRUE(pulls.should_pull(s_start + PullSchedule::s_answer_limit, 0ms));
}

TEST(PullSchedule, WhatThePlatformTellsInTimeIsNotPulled)
{
    PullSchedule pulls;
    EXPECT_FALSE(pulls.should_pull(s_start, s_patience));
    EXPECT_FALSE(pulls.should_pull(s_start + s_patience - 1ms, s_patience));
    pulls.note_news();
    EXPECT_FALSE(pulls.should_pull(s_start + s_patience, s_patience));
}

TEST(PullSchedule, AsksOnceWhenThePatienceIsOver)
{
    PullSchedule pulls;
    EXPECT_FALSE(pulls.should_ask(s_start, s_patience));
    EXPECT_FALSE(pulls.should_pull(s_start, s_patience));
    EXPECT_FALSE(pulls.should_ask(s_start + s_patience - 1ms, s_patience));
    EXPECT_TRUE(pulls.should_ask(s_start + s_patience, s_patience));
    EXPECT_FALSE(pulls.should_ask(s_start + s_patience, s_patience));
    EXPECT_TRUE(pulls.should_pull(s_start + s_patience, s_patience));
}

RC_GTEST_PROP(PullSchedule, IsNeverBehindForLongWhileAPeerAnnounces, ())
{
    // Whatever news came before, and whichever answers were lost, a peer that keeps announcing is asked again.
    PullSchedule pulls;
    auto now = s_start;
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
    for (auto const step : steps) {
        now += Core::Milliseconds(step);
        if (step % 7 == 0)
            pulls.note_news();
        else
            static_cast<void>(pulls.should_pull(now, s_patience));
    }
    bool has_pulled = false;
    for (auto const end = now + s_patience + PullSchedule::s_answer_limit; now <= end; now += 10ms)
        has_pulled = pulls.should_pull(now, s_patience) || has_pulled;
    RC_ASSERT(has_pulled);
}

}
