// What a process concludes from its own absence: nothing. The clock leaps by the time of a suspension.
#include <LibCore/AbsenceWatch.h>
#include <LibCore/RunningTime.h>
#include <LibCore/Time.h>

#include <ctime>

#include <gtest/gtest.h>

namespace GraniteField::Core {

using namespace std::chrono_literals;

TEST(AbsenceWatch, NoticesALeapOfTheClockOnce)
{
    AbsenceWatch watch;
    auto now = Core::MonotonicTime(1h);
    EXPECT_FALSE(watch.note_turn(now));
    for (int turn = 0; turn < 10; ++turn) {
        now += 250ms;
        EXPECT_FALSE(watch.note_turn(now));
    }
    now += 4s;
    EXPECT_TRUE(watch.note_turn(now));
    now += 25ms;
    EXPECT_FALSE(watch.note_turn(now));
}

TEST(AbsenceWatch, NoticesAnAbsenceBeforeTheFirstTurn)
{
    auto const begun = Core::MonotonicTime(1h);
    AbsenceWatch watch(begun);
    EXPECT_FALSE(watch.is_overdue(begun + 100ms));
    EXPECT_TRUE(watch.is_overdue(begun + 4s));
    EXPECT_EQ(watch.note_turn(begun + 4s), 4s);
}

// Two threads may note turns; the one that was stopped between its look at the clock and its note counted the same
// absence a second time.
TEST(AbsenceWatch, AnEarlierTurnThatIsNotedLateIsNoAbsence)
{
    auto const begun = Core::MonotonicTime(1h);
    AbsenceWatch watch(begun);
    EXPECT_TRUE(watch.note_turn(begun + 4s));
    EXPECT_FALSE(watch.note_turn(begun + 50ms));
    EXPECT_FALSE(watch.note_turn(begun + 4s + 100ms));
}

TEST(RunningTime, LeavesAbsencesOut)
{
    auto now = Core::MonotonicTime(1h);
    RunningTime running(now);
    now += 2'200ms;
    running.note_turn(now);
    EXPECT_EQ(running.at(now), 0ms);
    for (int turn = 0; turn < 10; ++turn) {
        now += 100ms;
        running.note_turn(now);
    }
    EXPECT_EQ(running.at(now), 1s);
    now += 800ms;
    running.note_turn(now);
    EXPECT_EQ(running.at(now), 1s);
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
