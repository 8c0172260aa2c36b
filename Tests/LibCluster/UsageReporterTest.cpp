// Runs the duty of reporting usage in simulated time. Checks that two gateways never act at once, that each window is
// reported once, and that it is reported before its deadline under injected faults.
#include "DutySimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Cluster {

using namespace std::chrono_literals;
using Testing::Arrival;
using Testing::Simulation;

namespace {

constexpr Core::Milliseconds s_lease {3'000};
constexpr Core::Milliseconds s_window {5'000};
constexpr Core::Milliseconds s_late {10'000};

/// Describes an arrival with a token lower than an earlier one, or a token that two hosts used; empty if there is none.
std::string token_violation(std::vector<Arrival> const& arrivals)
{
    std::uint64_t highest = 0;
    std::map<std::uint64_t, std::string> hosts;
    for (auto const& arrival : arrivals) {
        if (arrival.token < highest)
            return Core::concat("token ", arrival.token, " arrived after ", highest);
        highest = arrival.token;
        auto const host = hosts.try_emplace(arrival.token, arrival.host).first->second;
        if (host != arrival.host)
            return Core::concat("token ", arrival.token, " of ", host, " and ", arrival.host);
    }
    return {};
}

/// Describes hosts that act in the order A, B, A within the length of the lease; empty if there are none.
std::string order_violation(std::vector<Arrival> const& arrivals)
{
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        bool has_other = false;
        for (auto index = last; index-- > 0 && Core::elapsed(arrivals[index].at, arrivals[last].at) <= s_lease;) {
            bool const is_same = arrivals[index].host == arrivals[last].host;
            if (is_same && has_other)
                return Core::concat(arrivals[last].host, " acted again after another host");
            has_other = has_other || !is_same;
        }
    }
    return {};
}

/// Describes two different reports for one window; empty if there are none.
std::string report_violation(std::vector<Arrival> const& arrivals)
{
    std::map<UsageWindow, UsageCounts> accepted;
    for (auto const& arrival : arrivals) {
        if (!arrival.is_accepted)
            continue;
        auto const& first = accepted.try_emplace(arrival.report.window, arrival.report.counts).first->second;
        if (first != arrival.report.counts)
            return Core::concat("two different reports for window ", arrival.report.window.value());
    }
    return {};
}

std::string violation(Simulation const& simulation)
{
    auto const arrivals = simulation.arrivals_in_order();
    auto found = token_violation(arrivals);
    if (found.empty())
        found = order_violation(arrivals);
    return found.empty() ? report_violation(arrivals) : found;
}

/// Returns the windows after `from` that ended at least `margin` ago and were not reported in time and within the
/// tolerance.
std::vector<UsageWindow> missed_windows(
    Simulation const& simulation, Core::MonotonicTime from, Core::Milliseconds margin, double tolerance)
{
    std::vector<UsageWindow> missed;
    for (auto const& [window, counts] : simulation.truth) {
        auto const end = end_of(window, s_window);
        if (end - s_window < simulation.true_time(from) || end + margin > simulation.true_time(simulation.now))
            continue;
        auto const is_report = [&, window = window](Arrival const& arrival) {
            return arrival.is_accepted && arrival.report.window == window
                && simulation.true_time(arrival.at) < end + s_late;
        };
        auto const found = std::ranges::find_if(simulation.arrivals, is_report);
        bool is_correct = found != simulation.arrivals.end() && found->report.counts.size() == counts.size();
        for (auto item = counts.begin(); is_correct && item != counts.end(); ++item) {
            auto const reported = found->report.counts.find(item->first);
            auto const difference = reported == found->report.counts.end()
                ? 1.0
                : std::abs(static_cast<double>(reported->second) / static_cast<double>(item->second) - 1);
            is_correct = difference <= tolerance;
        }
        if (!is_correct)
            missed.push_back(window);
    }
    return missed;
}

}

TEST(UsageReporter, ReportsEachWindowOnceAndCorrectlyWithFewStoreCalls)
{
    Simulation simulation(12);
    simulation.play(60s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, 1s, 0).empty());
    EXPECT_EQ(simulation.arrivals.size(), 11U);
    // One write for each window, and the calls that select the first holder.
    EXPECT_LE(simulation.store_calls, 11U + 10U);
}

TEST(UsageReporter, SuccessorTakesOverBeforeTheReportDeadline)
{
    Simulation simulation(12);
    simulation.play(14s);
    for (int round = 0; round < 4; ++round) {
        auto const holder = simulation.holder();
        ASSERT_LT(holder, simulation.nodes.size());
        simulation.kill(holder);
        simulation.play(4s);
        EXPECT_LT(simulation.holder(), simulation.nodes.size());
        simulation.start(holder);
        simulation.play(3s);
    }
    simulation.play(20s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, s_late, 0.05).empty());
}

TEST(UsageReporter, StoppingHolderHandsOverWithinASecond)
{
    Simulation simulation(12);
    simulation.play(14s);
    for (int round = 0; round < 3; ++round) {
        auto const holder = simulation.holder();
        ASSERT_LT(holder, simulation.nodes.size());
        simulation.nodes[holder]->reporter.release();
        simulation.play(1s);
        EXPECT_LT(simulation.holder(), simulation.nodes.size());
        simulation.kill(holder);
        simulation.play(500ms);
        simulation.start(holder);
    }
    simulation.play(20s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, s_late, 0.05).empty());
}

TEST(UsageReporter, HolderThatCannotReachTheRecipientReleasesTheLease)
{
    Simulation simulation(12);
    simulation.play(14s);
    auto const holder = simulation.holder();
    ASSERT_LT(holder, simulation.nodes.size());
    simulation.nodes[holder]->host.is_cut_from_recipient = true;
    simulation.play(30s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, s_late, 0).empty());
}

TEST(UsageReporter, HolderThatCannotReachTheStoreLosesTheDuty)
{
    Simulation simulation(12);
    simulation.play(14s);
    auto const holder = simulation.holder();
    ASSERT_LT(holder, simulation.nodes.size());
    simulation.nodes[holder]->host.is_cut_from_store = true;
    simulation.play(30s);
    EXPECT_NE(simulation.holder(), holder);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, s_late, 0).empty());
}

TEST(UsageReporter, HolderCutOffFromItsPeersNeverActsBesideItsSuccessor)
{
    Simulation simulation(12);
    simulation.play(14s);
    for (int round = 0; round < 3; ++round) {
        auto const holder = simulation.holder();
        ASSERT_LT(holder, simulation.nodes.size());
        simulation.nodes[holder]->host.is_cut_from_peers = true;
        simulation.play(8s);
        simulation.nodes[holder]->host.is_cut_from_peers = false;
        simulation.play(3s);
    }
    EXPECT_EQ(violation(simulation), "");
}

TEST(UsageReporter, SendsReportsThatAreNotLateAfterAStoreOutage)
{
    Simulation simulation(12);
    simulation.play(14s);
    simulation.faults.is_store_down = true;
    simulation.play(6s);
    simulation.faults.is_store_down = false;
    simulation.play(25s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, s_late, 0).empty());
}

TEST(UsageReporter, RemembersReportsAfterAllProcessesRestarted)
{
    Simulation simulation(12);
    simulation.play(13s);
    for (std::size_t number = 0; number < simulation.nodes.size(); ++number)
        simulation.kill(number);
    for (std::size_t number = 0; number < simulation.nodes.size(); ++number)
        simulation.start(number);
    auto const restarted = simulation.now;
    simulation.play(40s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, restarted, s_late, 0).empty());
}

TEST(UsageReporter, JumpingClocksMoveNoRequestIntoAnotherWindow)
{
    Simulation simulation(12);
    simulation.play(14s);
    for (std::size_t number = 0; number < 4; ++number)
        simulation.nodes[number]->host.clock_error = 2s;
    simulation.play(12s);
    for (std::size_t number = 0; number < 4; ++number)
        simulation.nodes[number]->host.clock_error = 0s;
    simulation.play(20s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, s_late, 0).empty());
}

TEST(UsageReporter, KillingHalfOfTheFleetLosesOnlyUnsentCounts)
{
    Simulation simulation(12);
    simulation.play(17s);
    for (std::size_t number = 0; number < simulation.nodes.size(); number += 2)
        simulation.kill(number);
    simulation.play(500ms);
    for (std::size_t number = 0; number < simulation.nodes.size(); number += 2)
        simulation.start(number);
    simulation.play(30s);
    EXPECT_EQ(violation(simulation), "");
    EXPECT_TRUE(missed_windows(simulation, Simulation::s_start, s_late, 0.05).empty());
}

/// Injects random faults, alone and combined, for random times, followed by a time without faults.
RC_GTEST_PROP(UsageReporter, KeepsItsInvariantsUnderRandomFaults, ())
{
    Simulation simulation(8, *rc::gen::arbitrary<std::uint64_t>());
    simulation.play(8s);
    auto const rounds = *rc::gen::inRange(1, 12);
    for (int round = 0; round < rounds; ++round) {
        simulation.faults = {};
        simulation.faults.is_store_down = simulation.happens(0.15);
        simulation.faults.lost_answers = simulation.happens(0.4) ? 0.4 : 0;
        simulation.faults.late_writes = simulation.happens(0.4) ? 0.4 : 0;
        simulation.faults.is_recipient_down = simulation.happens(0.15);
        simulation.faults.lost_report_answers = simulation.happens(0.3) ? 0.5 : 0;
        simulation.faults.over_rate = simulation.happens(0.3) ? 0.5 : 0;
        simulation.faults.longest_sleep = simulation.happens(0.5) ? 400ms : 0ms;
        for (std::size_t number = 0; number < simulation.nodes.size(); ++number) {
            if (simulation.happens(0.15) || (number == simulation.holder() && simulation.happens(0.4)))
                simulation.kill(number);
            if (auto const& node = simulation.nodes[number]) {
                node->host.is_cut_from_peers = simulation.happens(0.2);
                node->host.is_cut_from_store = simulation.happens(0.2);
                node->host.is_cut_from_recipient = simulation.happens(0.2);
                node->host.clock_error = simulation.happens(0.2) ? 2'000ms : 0ms;
            }
        }
        simulation.play(Core::Milliseconds(*rc::gen::inRange(200, 6'000)));
        for (std::size_t number = 0; number < simulation.nodes.size(); ++number)
            simulation.start(number);
    }
    simulation.faults = {};
    for (auto& node : simulation.nodes) {
        node->host.is_cut_from_peers = false;
        node->host.is_cut_from_store = false;
        node->host.is_cut_from_recipient = false;
        node->host.clock_error = 0ms;
    }
    // Until the end of this time leases have expired, late writes have taken effect, the clocks agree again and new
    // windows have started.
    simulation.play(FleetClock::s_jump_confirmation_time + 5s);
    auto const faults_ended = simulation.now;
    simulation.play(25s);
    RC_ASSERT(violation(simulation) == "");
    RC_ASSERT(missed_windows(simulation, faults_ended, s_late, 0).empty());
}

}
