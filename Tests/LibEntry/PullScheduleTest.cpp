// PullSchedule: when newer versions are pulled, and from which peer.
#include <LibCore/Text.h>
#include <LibEntry/PullSchedule.h>

#include <algorithm>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Entry {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
constexpr Core::Milliseconds s_delay {600};
StateVersions const s_own {Core::TableVersion(1), DrainsVersion(1), ListRevision(1)};

StateVersions with_table(std::uint64_t version)
{
    auto versions = s_own;
    versions.table = Core::TableVersion(version);
    return versions;
}

PeerOrigin peer(std::size_t number)
{
    return {"", Core::concat("10.0.0.1:", number + 1)};
}

}

TEST(PullSchedule, PullsAtOnceWithoutADelay)
{
    PullSchedule pulls;
    pulls.note_offer(peer(0), with_table(2));
    EXPECT_EQ(pulls.next(s_own, s_start, 0ms), peer(0));
}

TEST(PullSchedule, KeepsOnePullInFlightHoweverManyPeersAnnounce)
{
    PullSchedule pulls;
    unsigned count = 0;
    std::size_t number = 0;
    for (auto time = s_start; time < s_start + PullSchedule::s_pull_timeout; time += 1ms) {
        pulls.note_offer(peer(number++ % 20), with_table(2));
        count += pulls.next(s_own, time, 0ms) ? 1 : 0;
    }
    EXPECT_EQ(count, 1U);
    EXPECT_TRUE(pulls.next(s_own, s_start + PullSchedule::s_pull_timeout, 0ms));
}

TEST(PullSchedule, DoesNotPullWhatThePlatformSendsWithinTheDelay)
{
    PullSchedule pulls;
    pulls.note_offer(peer(0), with_table(2));
    EXPECT_FALSE(pulls.next(s_own, s_start, s_delay));
    EXPECT_FALSE(pulls.next(s_own, s_start + s_delay - 1ms, s_delay));
    pulls.note_update();
    EXPECT_FALSE(pulls.next(with_table(2), s_start + s_delay, s_delay));
}

TEST(PullSchedule, PullsAfterTheDelayWhatThePlatformDoesNotSend)
{
    PullSchedule pulls;
    pulls.note_offer(peer(0), with_table(2));
    EXPECT_FALSE(pulls.next(s_own, s_start, s_delay));
    EXPECT_EQ(pulls.next(s_own, s_start + s_delay, s_delay), peer(0));
}

TEST(PullSchedule, PullsFromAllOtherPeersBeforeRepeatingAnUnansweredPull)
{
    PullSchedule pulls;
    for (std::size_t number = 0; number < 5; ++number)
        pulls.note_offer(peer(number), with_table(2));
    std::set<std::string> asked;
    auto now = s_start;
    for (std::size_t number = 0; number < 5; ++number) {
        auto const origin = pulls.next(s_own, now, 0ms);
        ASSERT_TRUE(origin);
        asked.insert(origin->address);
        now += PullSchedule::s_pull_timeout;
    }
    EXPECT_EQ(asked.size(), 5U);
    EXPECT_TRUE(pulls.next(s_own, now, 0ms));
}

TEST(PullSchedule, PullsAtOnceFromAPeerThatIsAheadOfTheReceivedUpdate)
{
    PullSchedule pulls;
    pulls.note_offer(peer(0), with_table(2));
    EXPECT_EQ(pulls.next(s_own, s_start, 0ms), peer(0));
    pulls.note_offer(peer(1), with_table(3));
    EXPECT_FALSE(pulls.next(s_own, s_start + 1ms, 0ms));
    pulls.note_update();
    EXPECT_EQ(pulls.next(with_table(2), s_start + 2ms, 0ms), peer(1));
    pulls.note_update();
    EXPECT_FALSE(pulls.next(with_table(3), s_start + 3ms, 0ms));
}

TEST(PullSchedule, PullsTheNewestVersionFirst)
{
    PullSchedule pulls;
    pulls.note_offer(peer(0), with_table(2));
    pulls.note_offer(peer(1), with_table(7));
    pulls.note_offer(peer(2), with_table(3));
    EXPECT_EQ(pulls.next(s_own, s_start, 0ms), peer(1));
}

TEST(PullSchedule, QueriesNeighboursWhenNoPeerIsKnownToBeAhead)
{
    PullSchedule pulls;
    pulls.note_newest_known(with_table(2));
    EXPECT_FALSE(pulls.should_query_neighbours(s_own, s_start, 0ms));
    EXPECT_FALSE(pulls.should_query_neighbours(s_own, s_start + PullSchedule::s_query_interval - 1ms, 0ms));
    EXPECT_TRUE(pulls.should_query_neighbours(s_own, s_start + PullSchedule::s_query_interval, 0ms));
    EXPECT_FALSE(pulls.should_query_neighbours(s_own, s_start + PullSchedule::s_query_interval + 1ms, 0ms));
    EXPECT_TRUE(pulls.should_query_neighbours(s_own, s_start + 2 * PullSchedule::s_query_interval, 0ms));
    // The version has arrived.
    EXPECT_FALSE(pulls.should_query_neighbours(with_table(2), s_start + 1h, 0ms));
}

TEST(PullSchedule, QueriesNeighboursAfterTheDelayWhileFollowingThePlatform)
{
    PullSchedule pulls;
    pulls.note_newest_known(with_table(2));
    EXPECT_FALSE(pulls.should_query_neighbours(s_own, s_start, s_delay));
    EXPECT_FALSE(pulls.should_query_neighbours(s_own, s_start + s_delay - 1ms, s_delay));
    EXPECT_TRUE(pulls.should_query_neighbours(s_own, s_start + s_delay, s_delay));
}

RC_GTEST_PROP(PullSchedule, PullsInTimeWhileAPeerKeepsAnnouncing, ())
{
    // Regardless of earlier updates and lost replies, a pull becomes due within the delay and one timeout while a peer
    // keeps announcing.
    PullSchedule pulls;
    auto now = s_start;
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
    for (auto const step : steps) {
        now += Core::Milliseconds(step);
        pulls.note_offer(peer(static_cast<std::size_t>(step)), with_table(2));
        if (step % 7 == 0)
            pulls.note_update();
        else
            static_cast<void>(pulls.next(s_own, now, s_delay));
    }
    bool has_pulled = false;
    for (auto const end = now + s_delay + PullSchedule::s_pull_timeout; now <= end; now += 10ms) {
        pulls.note_offer(peer(0), with_table(2));
        has_pulled = pulls.next(s_own, now, s_delay) || has_pulled;
    }
    RC_ASSERT(has_pulled);
}

RC_GTEST_PROP(PullSchedule, PullsFromTheOnlyResponsivePeerInTime, ())
{
    // Any number of peers announce once in any order, and all but one do not reply. The remaining one is asked within
    // one pull timeout per peer, without further announcements.
    PullSchedule pulls;
    auto const count = *rc::gen::inRange<std::size_t>(1, PullSchedule::s_max_offers);
    auto const responsive = *rc::gen::inRange<std::size_t>(0, count);
    for (std::size_t number = 0; number < count; ++number)
        pulls.note_offer(peer(number), with_table(*rc::gen::inRange<std::uint64_t>(2, 9)));
    bool is_asked = false;
    auto const end = s_start + PullSchedule::s_pull_timeout * static_cast<std::int64_t>(count);
    for (auto now = s_start; now <= end; now += 50ms)
        is_asked = pulls.next(s_own, now, 0ms) == peer(responsive) || is_asked;
    RC_ASSERT(is_asked);
}

}
