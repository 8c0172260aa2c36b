// Detection of the process's own stalls and late ticks, and time without them.
#include <LibCore/RecentGaps.h>
#include <LibCore/RunningTime.h>
#include <LibCore/StallDetector.h>
#include <LibCore/Time.h>

#include <ctime>

#include <gtest/gtest.h>

namespace GraniteField::Core {

using namespace std::chrono_literals;

TEST(StallDetector, ReportsAStallOnce)
{
    StallDetector detector;
    auto now = Core::MonotonicTime(1h);
    EXPECT_FALSE(detector.note_tick(now));
    for (int tick = 0; tick < 10; ++tick) {
        now += 250ms;
        EXPECT_FALSE(detector.note_tick(now));
    }
    now += 4s;
    EXPECT_TRUE(detector.note_tick(now));
    now += 25ms;
    EXPECT_FALSE(detector.note_tick(now));
}

TEST(StallDetector, DetectsAStallBeforeTheFirstTick)
{
    auto const begun = Core::MonotonicTime(1h);
    StallDetector detector(begun);
    EXPECT_FALSE(detector.is_overdue(begun + 100ms));
    EXPECT_TRUE(detector.is_overdue(begun + 4s));
    EXPECT_EQ(detector.note_tick(begun + 4s), 4s);
}

// A thread that is stopped between reading the clock and recording its tick must not report the stall again.
TEST(StallDetector, IgnoresATickThatIsReportedLate)
{
    auto const begun = Core::MonotonicTime(1h);
    StallDetector detector(begun);
    EXPECT_TRUE(detector.note_tick(begun + 4s));
    EXPECT_FALSE(detector.note_tick(begun + 50ms));
    EXPECT_FALSE(detector.note_tick(begun + 4s + 100ms));
}

TEST(RunningTime, ExcludesStalls)
{
    auto now = Core::MonotonicTime(1h);
    RunningTime running(now);
    now += 2'200ms;
    running.note_tick(now);
    EXPECT_EQ(running.at(now), 0ms);
    for (int tick = 0; tick < 10; ++tick) {
        now += 100ms;
        running.note_tick(now);
    }
    EXPECT_EQ(running.at(now), 1s);
    now += 800ms;
    running.note_tick(now);
    EXPECT_EQ(running.at(now), 1s);
}

// A process that gets the processor late each time: with every late tick left out, its limits never ended.
TEST(RunningTime, GoesOnWhereEachTickIsLate)
{
    auto now = Core::MonotonicTime(1h);
    RunningTime running(now);
    for (int tick = 0; tick < 20; ++tick) {
        now += 2s;
        EXPECT_GT(running.note_tick(now), 0ms);
    }
    EXPECT_GE(running.at(now), 5s);
    EXPECT_LE(running.at(now), 20s);
}

TEST(RunningTime, CountsNoMoreThanTheLongestGapOfALateTick)
{
    auto now = Core::MonotonicTime(1h);
    RunningTime running(now);
    now += 500ms;
    EXPECT_EQ(running.note_tick(now), 250ms);
    EXPECT_EQ(running.at(now), 250ms);
    EXPECT_EQ(running.clock(now), now - 250ms);
}

TEST(RunningTime, TicksLessOftenUntilItHasRunOnTimeForAWhile)
{
    auto now = Core::MonotonicTime(1h);
    RunningTime running(now);
    EXPECT_EQ(running.interval(), RunningTime::s_interval);
    now += 1s;
    running.note_tick(now);
    auto const late = now;
    while (running.is_slow() && now < late + 1min) {
        EXPECT_EQ(running.interval(), RunningTime::s_slow_interval);
        now += running.interval();
        EXPECT_EQ(running.note_tick(now), 0ms);
    }
    EXPECT_GT(now, late + RunningTime::s_recovery);
    EXPECT_LE(now, late + RunningTime::s_recovery + RunningTime::s_slow_interval);
}

TEST(RecentGaps, AdaptTheLimitAndForget)
{
    RecentGaps gaps;
    EXPECT_EQ(gaps.silence_limit(350ms), 350ms);
    gaps.note(100ms);
    EXPECT_EQ(gaps.silence_limit(350ms), 350ms);
    gaps.note(1s);
    EXPECT_GT(gaps.silence_limit(350ms), 1s);
    // Whoever is gone is noticed in the end.
    gaps.note(1h);
    EXPECT_LT(gaps.silence_limit(350ms), 10s);
    RecentGaps recovered;
    recovered.note(1s);
    for (int sign = 0; sign < 40; ++sign)
        recovered.note(100ms);
    EXPECT_EQ(recovered.silence_limit(350ms), 350ms);
}

// By the steady clock, which stands still while the host is suspended, this difference grows with each suspension.
TEST(BootClock, GoesOnWhileTheHostIsSuspended)
{
    auto const read = [](clockid_t clock) {
        timespec reading {};
        clock_gettime(clock, &reading);
        return std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    };
    auto const before = read(CLOCK_BOOTTIME);
    auto const now = Core::monotonic_now().time_since_epoch();
    auto const after = read(CLOCK_BOOTTIME);
    EXPECT_LE(before, now);
    EXPECT_LE(now, after);
}

}
