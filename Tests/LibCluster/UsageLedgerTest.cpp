// Tests that usage counts converge although messages are repeated, lost or reordered, and that the agreed time
// tolerates wrong clocks.
#include <LibCluster/FleetClock.h>
#include <LibCluster/UsageLedger.h>

#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Cluster {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t s_max_counts = 1'000;
UsageWindow const s_window {7};

}

TEST(UsageLedger, SumsCountsOfAllGateways)
{
    UsageLedger first(1);
    UsageLedger second(2);
    first.count(s_window, "a");
    first.count(s_window, "a");
    second.count(s_window, "a");
    second.count(s_window, "b");
    for (auto const& usage : first.take_changes(s_max_counts))
        second.merge(usage, UsageLedger::Relaying::No);
    EXPECT_EQ(second.totals(s_window), (UsageCounts {{"a", 3}, {"b", 1}}));
    EXPECT_EQ(first.totals(s_window), (UsageCounts {{"a", 2}}));
}

TEST(UsageLedger, WindowIsClosedWhenAllCountingGatewaysClosedIt)
{
    UsageLedger first(1);
    UsageLedger second(2);
    first.count(s_window, "a");
    second.count(s_window, "a");
    for (auto const& usage : first.take_changes(s_max_counts))
        second.merge(usage, UsageLedger::Relaying::No);
    second.close(s_window);
    EXPECT_FALSE(second.is_closed_by_all(s_window));
    first.close(s_window);
    for (auto const& usage : first.take_changes(s_max_counts))
        second.merge(usage, UsageLedger::Relaying::No);
    EXPECT_TRUE(second.is_closed_by_all(s_window));
}

TEST(UsageLedger, WindowIsNotAnnouncedAsClosedBeforeItsCountsAreSent)
{
    UsageLedger first(1);
    UsageLedger second(2);
    for (int number = 0; number < 10; ++number)
        first.count(s_window, std::to_string(number));
    first.close(s_window);
    while (first.has_changes()) {
        EXPECT_TRUE(second.totals(s_window).size() < 10 && second.windows_after(UsageWindow()).size() <= 1);
        for (auto const& usage : first.take_changes(4))
            second.merge(usage, UsageLedger::Relaying::No);
        EXPECT_EQ(second.is_closed_by_all(s_window), second.totals(s_window).size() == 10);
    }
    EXPECT_EQ(second.totals(s_window).size(), 10U);
}

RC_GTEST_PROP(UsageLedger, ToleratesRepeatedLostAndReorderedMessages, ())
{
    std::mt19937_64 generator(*rc::gen::arbitrary<std::uint64_t>());
    auto const happens
        = [&](double probability) { return std::uniform_real_distribution<double>(0, 1)(generator) < probability; };
    UsageLedger gateway(1);
    UsageLedger relay(2);
    UsageLedger holder(3);
    std::vector<GatewayUsage> in_transit;
    UsageCounts truth;
    for (int step = 0; step < 200; ++step) {
        auto const workspace = std::to_string(generator() % 5);
        gateway.count(s_window, workspace);
        ++truth[workspace];
        for (auto const& usage : gateway.take_changes(s_max_counts)) {
            if (!happens(0.3))
                relay.merge(usage, UsageLedger::Relaying::Yes);
        }
        std::ranges::copy(relay.take_changes(s_max_counts), std::back_inserter(in_transit));
    }
    std::ranges::shuffle(in_transit, generator);
    for (auto const& usage : in_transit) {
        for (int copy = happens(0.2) ? 0 : 1 + static_cast<int>(generator() % 2); copy > 0; --copy)
            holder.merge(usage, UsageLedger::Relaying::No);
    }
    // Closing the window sends all counts again.
    gateway.close(s_window);
    for (auto const& usage : gateway.take_changes(s_max_counts))
        relay.merge(usage, UsageLedger::Relaying::Yes);
    for (auto const& usage : relay.take_changes(s_max_counts))
        holder.merge(usage, UsageLedger::Relaying::No);
    RC_ASSERT(holder.totals(s_window) == truth);
    RC_ASSERT(holder.is_closed_by_all(s_window));
}

TEST(FleetClock, MedianIgnoresAMinorityOfWrongClocks)
{
    Core::MonotonicTime const start {1h};
    WallTime const time {1'000'000h};
    FleetClock clock(start);
    for (std::uint64_t host = 0; host < 10; ++host)
        clock.add_reading(host, {host < 3 ? time + 2s : time}, start);
    clock.follow_readings(start);
    EXPECT_EQ(clock.at(start), time);
    EXPECT_EQ(clock.at(start + 1'234ms), time + 1'234ms);
}

TEST(FleetClock, AdoptsAJumpOfAllClocksOnlyIfItPersists)
{
    Core::MonotonicTime now {1h};
    WallTime const time {1'000'000h};
    auto const truth = [&, started = now] { return time + Core::elapsed(started, now); };
    FleetClock clock(now);
    auto const play = [&](Core::Milliseconds duration, Core::Milliseconds error) {
        for (auto const end = now + duration; now < end; now += 100ms) {
            clock.add_reading(1, {truth() + error}, now);
            clock.follow_readings(now);
        }
    };
    play(5s, 0ms);
    play(8s, -2s);
    EXPECT_EQ(clock.at(now), truth());
    play(5s, 0ms);
    EXPECT_EQ(clock.at(now), truth());
    play(40s, 2s);
    EXPECT_EQ(clock.at(now), truth() + 2s);
}

TEST(FleetClock, GroupIsWeightedByItsNumberOfHosts)
{
    Core::MonotonicTime const start {1h};
    WallTime const time {1'000'000h};
    FleetClock clock(start);
    clock.add_reading(1, {time + 5s}, start);
    clock.add_reading(2, {time + 5s}, start);
    clock.add_reading(3, {time, 8, FleetClock::Source::Group}, start);
    clock.follow_readings(start);
    EXPECT_EQ(clock.at(start), time);
    EXPECT_EQ(clock.host_median(start)->time, time + 5s);
}

}
