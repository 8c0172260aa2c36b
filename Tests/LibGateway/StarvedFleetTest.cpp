// Who is taken for silent where a host's processors are taken by others: gateways that wait for a processor are not
// dead, and dead ones are replaced all the same.
#include "StarvedFleet.h"

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

constexpr unsigned s_seeds = 10;
constexpr Core::Milliseconds s_start_time {10'000};
constexpr Core::Milliseconds s_observed_time {60'000};

}

// Each gateway took others that waited for a processor for dead: relays changed with every wait, and gateways that were
// not elected watched the store.
class StarvedFleets : public ::testing::TestWithParam<int> { };

TEST_P(StarvedFleets, KeepTheirWatchersAndRelays)
{
    unsigned takeovers = 0;
    unsigned relay_changes = 0;
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        StarvedFleet fleet(seed, Core::Milliseconds(GetParam()));
        fleet.advance(s_start_time);
        auto const takeovers_before = fleet.takeovers();
        auto const relay_changes_before = fleet.relay_changes();
        fleet.advance(s_observed_time);
        takeovers += fleet.takeovers() - takeovers_before;
        relay_changes += fleet.relay_changes() - relay_changes_before;
    }
    // In a minute of twelve gateways: a wrong suspicion now and then, where each wait caused several.
    EXPECT_LE(takeovers, 3 * s_seeds);
    EXPECT_LE(relay_changes, 2 * StarvedFleet::s_count * s_seeds);
}

INSTANTIATE_TEST_SUITE_P(MeanWaits, StarvedFleets, ::testing::Values(50, 100, 200, 400, 800, 1'600));

class DeadWatchers : public ::testing::TestWithParam<int> {
protected:
    /// The longest time in any of the fleets until another gateway watches, or the limit.
    static Core::Milliseconds longest_replacement(Core::Milliseconds mean_wait, Core::Milliseconds limit)
    {
        Core::Milliseconds longest {0};
        for (unsigned seed = 1; seed <= s_seeds; ++seed) {
            StarvedFleet fleet(seed, mean_wait);
            fleet.advance(s_start_time);
            fleet.kill_elected();
            auto const killed = fleet.now();
            while (fleet.count_watching() == 0 && fleet.now() < killed + limit)
                fleet.advance(s_step);
            longest = std::max(longest, Core::elapsed(killed, fleet.now()));
        }
        return longest;
    }
};

// Reports of dead watchers stayed fresh, as each gateway that passed them on left out how long they had waited to be
// read: nobody stepped in.
TEST_P(DeadWatchers, AreReplacedAlthoughReportsWaitToBeRead)
{
    EXPECT_LT(longest_replacement(Core::Milliseconds(GetParam()), s_observed_time), s_observed_time);
}

INSTANTIATE_TEST_SUITE_P(MeanWaits, DeadWatchers, ::testing::Values(0, 50, 100, 200, 400, 800));

// A change must be in force within 3 s where hosts run, also with the short waits of a busy host.
TEST_F(DeadWatchers, AreReplacedWithinThePromisedTimeOnABusyHost)
{
    constexpr Core::Milliseconds limit {3'000};
    for (int const mean_wait : {0, 50, 100})
        EXPECT_LT(longest_replacement(Core::Milliseconds(mean_wait), limit), limit) << mean_wait;
}

// The patience of a host that runs well again is the usual one, however long the gaps between reports were.
TEST(StarvedFleet, RecoversItsPatience)
{
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        StarvedFleet fleet(seed, Core::Milliseconds(400));
        fleet.advance(s_start_time);
        fleet.set_mean_wait(Core::Milliseconds(0));
        fleet.advance(Core::RunningTime::s_recovery + s_start_time);
        fleet.kill_elected();
        fleet.advance(StarvedGateway::s_silence_timeout + Core::Milliseconds(250));
        EXPECT_GT(fleet.count_watching(), 0U) << "seed " << seed;
    }
}

}
