// The duty of reporting usage, played by simulated time: that two gateways never act at once, that a window is reported
// once, and that it is reported in time whatever fails.
#include "DutyWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Cluster {

using namespace std::chrono_literals;
using Testing::Arrival;
using Testing::World;

namespace {

constexpr Core::Milliseconds s_lease {3'000};
constexpr Core::Milliseconds s_window {5'000};
constexpr Core::Milliseconds s_late {10'000};

/// A token below one that was seen, or one token of two hosts.
std::string broken_token_rule(std::vector<Arrival> const& arrivals)
{
    std::uint64_t highest = 0;
    std::map<std::uint64_t, std::string> hosts;
    for (auto const& arrival : arrivals) {
        if (arrival.token < highest)
            return Core::concat("token ", arrival.token, " came after ", highest);
        highest = arrival.token;
        auto const host = hosts.try_emplace(arrival.token, arrival.host).first->second;
        if (host != arrival.host)
            return Core::concat("token ", arrival.token, " of ", host, " and ", arrival.host);
    }
    return {};
}

/// Holders act in the order A, B, A within the length of the lease.
std::string broken_order_rule(std::vector<Arrival> const& arrivals)
{
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        bool has_other = false;
        for (auto index = last; index-- > 0 && Core::elapsed(arrivals[index].at, arrivals[last].at) <= s_lease;) {
            bool const is_same = arrivals[index].host == arrivals[last].host;
            if (is_same && has_other)
                return Core::concat(arrivals[last].host, " acted again after another one");
            has_other = has_other || !is_same;
        }
    }
    return {};
}

/// Two differing reports for one window.
std::string broken_report_rule(std::vector<Arrival> const& arrivals)
{
    std::map<UsageWindow, UsageCounts> accepted;
    for (auto const& arrival : arrivals) {
        if (!arrival.is_accepted)
            continue;
        auto const& first = accepted.try_emplace(arrival.report.window, arrival.report.counts).first->second;
        if (first != arrival.report.counts)
            return Core::concat("two reports for window ", arrival.report.window.value());
    }
    return {};
}

std::string broken_rule(World const& world)
{
    auto const arrivals = world.arrivals_in_order();
    auto broken = broken_token_rule(arrivals);
    if (broken.empty())
        broken = broken_order_rule(arrivals);
    return broken.empty() ? broken_report_rule(arrivals) : broken;
}

/// Windows that ended at least `margin` ago and behind `from`, and were not reported in time within the tolerance.
std::vector<UsageWindow> missed_windows(
    World const& world, Core::MonotonicTime from, Core::Milliseconds margin, double tolerance)
{
    std::vector<UsageWindow> missed;
    for (auto const& [window, counts] : world.truth) {
        auto const end = end_of(window, s_window);
        if (end - s_window < world.true_time(from) || end + margin > world.true_time(world.now))
            continue;
        auto const is_report = [&, window = window](Arrival const& arrival) {
            return arrival.is_accepted && arrival.report.window == window && world.true_time(arrival.at) < end + s_late;
        };
        auto const found = std::ranges::find_if(world.arrivals, is_report);
        bool is_right = found != world.arrivals.end() && found->report.counts.size() == counts.size();
        for (auto item = counts.begin(); is_right && item != counts.end(); ++item) {
            auto const reported = found->report.counts.find(item->first);
            auto const difference = reported == found->report.counts.end()
                ? 1.0
                : std::abs(static_cast<double>(reported->second) / static_cast<double>(item->second) - 1);
            is_right = difference <= tolerance;
        }
        if (!is_right)
            missed.push_back(window);
    }
    return missed;
}

}

TEST(UsageReporter, ReportsEachWindowOnceAndRightWithFewCalls)
{
    World world(12);
    world.play(60s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, 1s, 0).empty());
    EXPECT_EQ(world.arrivals.size(), 11U);
    // One write for each window, and those that agree on the first holder.
    EXPECT_LE(world.store_calls, 11U + 10U);
}

TEST(UsageReporter, AnotherGatewayFollowsWithinTheTimeThatAReportHas)
{
    World world(12);
    world.play(14s);
    for (int round = 0; round < 4; ++round) {
        auto const holder = world.holder();
        ASSERT_LT(holder, world.nodes.size());
        world.kill(holder);
        world.play(4s);
        EXPECT_LT(world.holder(), world.nodes.size());
        world.start(holder);
        world.play(3s);
    }
    world.play(20s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, s_late, 0.05).empty());
}

TEST(UsageReporter, AHolderThatStopsHandsOverWithinASecond)
{
    World world(12);
    world.play(14s);
    for (int round = 0; round < 3; ++round) {
        auto const holder = world.holder();
        ASSERT_LT(holder, world.nodes.size());
        world.nodes[holder]->reporter.release();
        world.play(1s);
        EXPECT_LT(world.holder(), world.nodes.size());
        world.kill(holder);
        world.play(500ms);
        world.start(holder);
    }
    world.play(20s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, s_late, 0.05).empty());
}

TEST(UsageReporter, AHolderThatDoesNotReachTheRecipientLeavesTheDutyToAnother)
{
    World world(12);
    world.play(14s);
    auto const holder = world.holder();
    ASSERT_LT(holder, world.nodes.size());
    world.nodes[holder]->host.is_cut_from_recipient = true;
    world.play(30s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, s_late, 0).empty());
}

TEST(UsageReporter, AHolderThatDoesNotReachTheStoreLosesTheDuty)
{
    World world(12);
    world.play(14s);
    auto const holder = world.holder();
    ASSERT_LT(holder, world.nodes.size());
    world.nodes[holder]->host.is_cut_from_store = true;
    world.play(30s);
    EXPECT_NE(world.holder(), holder);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, s_late, 0).empty());
}

TEST(UsageReporter, AHolderThatIsCutOffFromItsPeersNeverActsBesideItsSuccessor)
{
    World world(12);
    world.play(14s);
    for (int round = 0; round < 3; ++round) {
        auto const holder = world.holder();
        ASSERT_LT(holder, world.nodes.size());
        world.nodes[holder]->host.is_cut_from_peers = true;
        world.play(8s);
        world.nodes[holder]->host.is_cut_from_peers = false;
        world.play(3s);
    }
    EXPECT_EQ(broken_rule(world), "");
}

TEST(UsageReporter, ReportsAfterAnOutageOfTheStoreWhatIsNotLate)
{
    World world(12);
    world.play(14s);
    world.faults.is_store_down = true;
    world.play(6s);
    world.faults.is_store_down = false;
    world.play(25s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, s_late, 0).empty());
}

TEST(UsageReporter, WhatWasReportedIsKnownAfterAllProcessesWereLost)
{
    World world(12);
    world.play(13s);
    for (std::size_t number = 0; number < world.nodes.size(); ++number)
        world.kill(number);
    for (std::size_t number = 0; number < world.nodes.size(); ++number)
        world.start(number);
    auto const restarted = world.now;
    world.play(40s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, restarted, s_late, 0).empty());
}

TEST(UsageReporter, ClocksThatJumpMoveNoRequestIntoAnotherWindow)
{
    World world(12);
    world.play(14s);
    for (std::size_t number = 0; number < 4; ++number)
        world.nodes[number]->host.clock_error = 2s;
    world.play(12s);
    for (std::size_t number = 0; number < 4; ++number)
        world.nodes[number]->host.clock_error = 0s;
    world.play(20s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, s_late, 0).empty());
}

TEST(UsageReporter, HalfOfTheFleetKilledAtOnceLosesNoMoreThanWhatWasUntold)
{
    World world(12);
    world.play(17s);
    for (std::size_t number = 0; number < world.nodes.size(); number += 2)
        world.kill(number);
    world.play(500ms);
    for (std::size_t number = 0; number < world.nodes.size(); number += 2)
        world.start(number);
    world.play(30s);
    EXPECT_EQ(broken_rule(world), "");
    EXPECT_TRUE(missed_windows(world, World::s_start, s_late, 0.05).empty());
}

/// Faults of all kinds, alone and together, each for a while; a quiet time follows.
RC_GTEST_PROP(UsageReporter, KeepsItsRulesWhateverFails, ())
{
    World world(8, *rc::gen::arbitrary<std::uint64_t>());
    world.play(8s);
    auto const rounds = *rc::gen::inRange(1, 12);
    for (int round = 0; round < rounds; ++round) {
        world.faults = {};
        world.faults.is_store_down = world.happens(0.15);
        world.faults.lost_answers = world.happens(0.4) ? 0.4 : 0;
        world.faults.late_writes = world.happens(0.4) ? 0.4 : 0;
        world.faults.is_recipient_down = world.happens(0.15);
        world.faults.lost_report_answers = world.happens(0.3) ? 0.5 : 0;
        world.faults.over_rate = world.happens(0.3) ? 0.5 : 0;
        world.faults.longest_sleep = world.happens(0.5) ? 400ms : 0ms;
        for (std::size_t number = 0; number < world.nodes.size(); ++number) {
            if (world.happens(0.15) || (number == world.holder() && world.happens(0.4)))
                world.kill(number);
            if (auto const& node = world.nodes[number]) {
                node->host.is_cut_from_peers = world.happens(0.2);
                node->host.is_cut_from_store = world.happens(0.2);
                node->host.is_cut_from_recipient = world.happens(0.2);
                node->host.clock_error = world.happens(0.2) ? 2'000ms : 0ms;
            }
        }
        world.play(Core::Milliseconds(*rc::gen::inRange(200, 6'000)));
        for (std::size_t number = 0; number < world.nodes.size(); ++number)
            world.start(number);
    }
    world.faults = {};
    for (auto& node : world.nodes) {
        node->host.is_cut_from_peers = false;
        node->host.is_cut_from_store = false;
        node->host.is_cut_from_recipient = false;
        node->host.clock_error = 0ms;
    }
    // Leases have run out, late writes are done, the clocks agree again, and windows begin anew.
    world.play(FleetClock::s_jump_confirmation_time + 5s);
    auto const calm = world.now;
    world.play(25s);
    RC_ASSERT(broken_rule(world) == "");
    RC_ASSERT(missed_windows(world, calm, s_late, 0).empty());
}

}
