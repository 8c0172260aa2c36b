// Tests for the line of rejected callers.
#include <LibPolicy/ReturnLine.h>

#include <map>

#include <gtest/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
constexpr AdmissionClass s_class {2};
constexpr Core::Milliseconds s_min_delay {250};
constexpr Core::Milliseconds s_max_delay {3'000};

/// A line of a gateway that admits 20 requests per second.
ReturnLine make_busy_line()
{
    ReturnLine line;
    for (auto now = s_start - 5s; now < s_start; now += 50ms)
        line.note_admitted("svc", s_class, now);
    return line;
}

}

TEST(ReturnLine, GivesOutNoMoreTimesThanThereIsRoomFor)
{
    auto line = make_busy_line();
    std::map<std::int64_t, unsigned> returning;
    unsigned without_place = 0;
    for (int count = 0; count < 100; ++count) {
        auto const delay = line.next_delay("svc", s_class, s_min_delay, s_max_delay, s_start);
        if (!delay) {
            ++without_place;
            continue;
        }
        EXPECT_GE(*delay, s_min_delay);
        EXPECT_LE(*delay, s_max_delay + 1ms);
        ++returning[(s_start + *delay).time_since_epoch() / 1s];
    }
    for (auto const& [second, count] : returning)
        EXPECT_LE(count, 12U);
    // A place for half of the 20 admitted each second, for nearly three seconds.
    EXPECT_NEAR(without_place, 100 - 10 * 2.75, 5);
}

TEST(ReturnLine, KeepsRanksApart)
{
    auto line = make_busy_line();
    while (line.next_delay("svc", s_class, s_min_delay, s_max_delay, s_start)) { }
    EXPECT_TRUE(line.next_delay("svc", AdmissionClass {1}, s_min_delay, s_max_delay, s_start));
}

TEST(ReturnLine, RecognizesACallerThatReturnsAtItsTimeOnly)
{
    ReturnLine line;
    line.add(7, s_start + 1s);
    EXPECT_FALSE(line.claim(7, s_start + 500ms));
    EXPECT_FALSE(line.claim(8, s_start + 1s));
    EXPECT_TRUE(line.claim(7, s_start + 1s));
    EXPECT_FALSE(line.claim(7, s_start + 1s));
    line.add(9, s_start + 1s);
    EXPECT_FALSE(line.claim(9, s_start + 1s + ReturnLine::s_grace + 1ms));
}

// The gateway that rejected the request has died after its report.
TEST(ReturnLine, RecognizesACallerThatAnotherGatewaySentAway)
{
    ReturnLine dead;
    dead.add(7, s_start + 1s);
    ReturnLine other;
    for (auto const& place : dead.take_unreported())
        other.receive(place);
    EXPECT_TRUE(other.claim(7, s_start + 1s));
    EXPECT_FALSE(other.has_unreported());
}

TEST(ReturnLine, StaysBounded)
{
    ReturnLine line;
    for (ReturnLine::Fingerprint request = 1; request <= 3 * ReturnLine::s_max_places; ++request)
        line.add(request, s_start + 1s);
    EXPECT_LE(line.size(), ReturnLine::s_max_places);
    EXPECT_LE(line.take_unreported().size(), ReturnLine::s_max_reported);
    line.forget_expired(s_start + 10s);
    EXPECT_EQ(line.size(), 0U);
}

}
