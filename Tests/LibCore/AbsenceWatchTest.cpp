// What a process concludes from its own absence: nothing. The clock leaps by the time of a suspension.
#include <LibCore/AbsenceWatch.h>
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
