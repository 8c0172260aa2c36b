// Who watches the platform's store: that somebody does in time whatever fails, and that few do while nothing does.
#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibEntry/PeerView.h>
#include <LibEntry/WatchElection.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Entry {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
constexpr Core::Milliseconds s_patience {1'000};
/// What a watch waits, and its answer's limit beyond.
constexpr Core::Milliseconds s_watch_wait {2'000};
constexpr Core::Milliseconds s_call_limit {2'800};

WatchElection make_election()
{
    return WatchElection({s_patience}, s_start);
}

/// The process runs until then and hears nothing.
void run_until(WatchElection& election, Core::MonotonicTime& now, Core::MonotonicTime end)
{
    for (; now < end; now += std::min<Core::MonotonicTime::duration>(100ms, end - now))
        election.note_tick(now);
    election.note_tick(now);
}

/// The process joins the others, and does not watch the store meanwhile.
void join_for(
    Core::Milliseconds duration, WatchElection& election, Core::MonotonicTime& now, WatchElection::PeerDiscovery others)
{
    for (auto const end = now + duration; now < end; now += 100ms) {
        election.note_tick(now);
        election.note_joining(discovery, now);
        EXPECT_FALSE(election.is_on_duty(now));
    }
}

/// Both watches are answered and under way.
void watch_soundly(WatchElection& election, Core::MonotonicTime now)
{
    for (auto const watch : {WatchElection::Watch::Table, WatchElection::Watch::Servers}) {
        election.note_call(watch, now + s_call_limit);
        election.note_answer(watch);
    }
}

StoreReport report_of_elected(Core::MonotonicTime time)
{
    return {time, time, {}};
}

}

TEST(WatchElection, WhoIsNotElectedStaysAwayWhileSomebodysWatchIsSound)
{
    auto election = make_election();
    for (auto now = s_start; now < s_start + 1min; now += 100ms) {
        election.note_tick(now);
        election.note_report(report_of_elected(now), now);
        EXPECT_FALSE(election.is_on_duty(now));
        EXPECT_GT(election.next_check(now), now);
    }
}

TEST(WatchElection, AnybodyStepsInWhenNoSoundWatchIsHeardOf)
{
    auto election = make_election();
    election.note_report(report_of_elected(s_start), s_start);
    EXPECT_EQ(election.next_check(s_start), s_start + s_patience);
    auto now = s_start;
    run_until(election, now, s_start + s_patience - 1ms);
    EXPECT_FALSE(election.is_on_duty(now));
    EXPECT_TRUE(election.is_store_suspected(s_start + s_patience));
    EXPECT_TRUE(election.is_on_duty(s_start + s_patience));
    // Its own report tells the others not to.
    EXPECT_FALSE(election.report(s_start + s_patience).any_healthy_at > s_start);
    watch_soundly(election, s_start + s_patience);
    EXPECT_EQ(election.report(s_start + s_patience).any_healthy_at, s_start + s_patience);
    EXPECT_EQ(election.report(s_start + s_patience).elected_healthy_at, s_start);
}

TEST(WatchElection, WhoSteppedInLeavesWhenAnElectedOneIsBack)
{
    auto election = make_election();
    auto now = s_start;
    run_until(election, now, s_start + s_patience);
    ASSERT_TRUE(election.is_on_duty(now));
    // The report of others who stepped in as well, its own among them, relieves nobody.
    run_until(election, now, now + WatchElection::s_min_duty_time);
    election.note_report({std::nullopt, now, {}}, now);
    EXPECT_TRUE(election.is_on_duty(now));
    election.note_report(report_of_elected(now), now);
    EXPECT_FALSE(election.is_on_duty(now));
}

TEST(WatchElection, AVersionThatDoesNotComeIsAskedOfTheStore)
{
    auto election = make_election();
    auto now = s_start;
    auto report = report_of_elected(now);
    report.versions.table = Core::TableVersion(5);
    election.note_report(report, now);
    for (; now < s_start + WatchElection::Settings().behind_timeout; now += 50ms) {
        election.note_tick(now);
        election.note_report(report_of_elected(now), now);
        EXPECT_FALSE(election.is_on_duty(now));
    }
    election.note_report(report_of_elected(now), now);
    EXPECT_TRUE(election.is_on_duty(now));
    // Once it has it, the elected ones suffice again.
    run_until(election, now, now + WatchElection::s_min_duty_time);
    election.note_report(report_of_elected(now), now);
    EXPECT_TRUE(election.is_on_duty(now));
    election.note_versions({Core::TableVersion(5), {}, {}}, now);
    EXPECT_FALSE(election.is_on_duty(now));
}

// A host whose processes had all been stopped, or got no processor time, for some seconds: when they went on, every
// gateway on it took the others' silence for that of the watchers and listed everything from the store.
TEST(WatchElection, IgnoresSilenceDuringItsOwnStall)
{
    auto election = make_election();
    auto now = s_start;
    for (; now < s_start + 5s; now += 100ms) {
        election.note_tick(now);
        election.note_report(report_of_elected(now), now);
    }
    now += 10s;
    // Whichever of its threads goes on first.
    EXPECT_FALSE(election.is_on_duty(now));
    election.note_tick(now);
    // Others are silent indeed.
    for (auto const end = now + s_patience; now < end; now += 100ms) {
        election.note_tick(now);
        EXPECT_FALSE(election.is_on_duty(now));
    }
    election.note_tick(now);
    EXPECT_TRUE(election.is_on_duty(now));
}

// A host that stalled within its first 100 ms: its gateways had heard nobody yet, and all of them listed everything
// from the store when they went on, seven watchers in place of two.
TEST(WatchElection, IgnoresSilenceDuringAStallRightAfterItsStart)
{
    auto election = make_election();
    auto now = s_start + 2'200ms;
    // Whichever of its threads goes on first.
    EXPECT_FALSE(election.is_on_duty(now));
    run_until(election, now, now + s_patience - 100ms);
    EXPECT_FALSE(election.is_on_duty(now));
    election.note_report(report_of_elected(now), now);
    run_until(election, now, now + 200ms);
    EXPECT_FALSE(election.is_on_duty(now));
}

// A host that stalls for 800 ms in each 1,300: with the patience begun anew after each stall nobody ever stepped in for
// watchers that had died.
TEST(WatchElection, StepsInAlthoughItsHostStallsRepeatedly)
{
    auto election = make_election();
    election.note_report(report_of_elected(s_start), s_start);
    auto now = s_start;
    unsigned stretches = 0;
    for (; stretches < 20 && !election.is_on_duty(now); ++stretches) {
        run_until(election, now, now + 500ms);
        if (!election.is_on_duty(now))
            now += 800ms;
    }
    // The patience, in stretches of running.
    EXPECT_LE(stretches, s_patience / 500ms + 1);
}

// A host whose processors are taken by others: each tick came late, none counted, and nobody stepped in for watchers
// that had died.
TEST(WatchElection, StepsInAlthoughEachTickIsLate)
{
    auto election = make_election();
    election.note_report(report_of_elected(s_start), s_start);
    auto now = s_start;
    unsigned ticks = 0;
    for (; ticks < 100 && !election.is_on_duty(now); ++ticks) {
        now += 700ms;
        election.note_tick(now);
    }
    EXPECT_LE(ticks, 10U);
}

// The watcher's answer came in time, and the thread that notes it got no processor: it reported that its watch had
// failed, and others stepped in.
TEST(WatchElection, CountsNoLateTickOfItsOwnAgainstAWatch)
{
    auto election = make_election();
    election.set_elected(true);
    election.note_tick(s_start);
    watch_soundly(election, s_start);
    auto const now = s_start + s_call_limit + 1s;
    election.note_tick(now);
    EXPECT_TRUE(election.is_healthy(now));
    EXPECT_FALSE(election.is_healthy(now + s_call_limit + 1ms));
}

// A gateway that started on a host without spare processor time listed everything from the store, since it had heard no
// report in its first second: its peers did not know it yet.
TEST(WatchElection, CountsNoSilenceWhileItJoins)
{
    auto election = make_election();
    auto now = s_start;
    join_for(2 * s_patience, election, now, WatchElection::PeerDiscovery::Found);
    auto const joined = now - 100ms;
    run_until(election, now, joined + s_patience - 1ms);
    EXPECT_FALSE(election.is_on_duty(now));
    run_until(election, now, joined + s_patience);
    EXPECT_TRUE(election.is_on_duty(now));
}

// The follower's thread looks between the ticks of the one that joins, which come up to 150 ms late.
TEST(WatchElection, DoesNotStepInBetweenTheTicksOfAJoiningGateway)
{
    auto election = make_election();
    auto now = s_start;
    for (; now < s_start + 2 * s_patience; now += 250ms) {
        election.note_tick(now);
        election.note_joining(WatchElection::PeerDiscovery::NotFound, now);
        EXPECT_FALSE(election.is_on_duty(now + 240ms));
    }
}

TEST(WatchElection, StepsInAfterJoiningWhereNobodyIsFound)
{
    auto election = make_election();
    auto now = s_start;
    join_for(2 * s_patience, election, now, WatchElection::PeerDiscovery::NotFound);
    run_until(election, now, now + 250ms);
    EXPECT_TRUE(election.is_on_duty(now));
}

TEST(WatchElection, VersionsThatKeepComingLeaveNobodyBehind)
{
    auto election = make_election();
    auto now = s_start;
    for (std::uint64_t version = 1; version < 100; ++version) {
        auto report = report_of_elected(now);
        report.versions.servers = ListRevision(version);
        election.note_tick(now);
        election.note_report(report, now);
        EXPECT_FALSE(election.is_on_duty(now));
        now += 300ms;
        // Each comes after a while, when the next one is known already.
        election.note_versions({{}, {}, ListRevision(version)}, now);
    }
}

TEST(WatchElection, AHangingWatchIsNotSound)
{
    auto election = make_election();
    election.set_elected(true);
    watch_soundly(election, s_start);
    EXPECT_TRUE(election.is_healthy(s_start + s_call_limit));
    EXPECT_FALSE(election.is_healthy(s_start + s_call_limit + 1ms));
    election.note_failure(WatchElection::Watch::Servers, s_start);
    EXPECT_FALSE(election.is_healthy(s_start));
    EXPECT_TRUE(election.is_on_duty(s_start));
}

TEST(WatchElection, AFailedTryIsRepeatedAfterThePatienceOnly)
{
    auto election = make_election();
    auto now = s_start;
    run_until(election, now, s_start + s_patience);
    unsigned tries = 0;
    for (; now < s_start + s_patience * 10; now += 10ms) {
        election.note_tick(now);
        if (!election.is_on_duty(now))
            continue;
        ++tries;
        election.note_failure(WatchElection::Watch::Servers, now);
    }
    EXPECT_LE(tries, 9U);
    EXPECT_GE(tries, 8U);
}

namespace {

/// Gateways whose words reach each other, before a store that may be cut from each of them.
struct Fleet {
    struct Node {
        WatchElection election;
        bool is_elected {false};
        bool is_alive {true};
        bool reaches_store {true};
    };

    explicit Fleet(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            // The patience differs, as by their names.
            auto const patience = s_patience + s_patience * static_cast<int>(number) / static_cast<int>(count);
            nodes.push_back({WatchElection({patience}, s_start), number < 4});
            nodes.back().election.set_elected(nodes.back().is_elected);
        }
    }

    void turn(Core::MonotonicTime now)
    {
        for (auto& node : nodes) {
            node.election.note_tick(now);
            if (node.is_alive)
                call(node, now);
        }
        StoreReport report;
        for (auto const& node : nodes) {
            if (node.is_alive)
                report.merge(node.election.report(now));
        }
        for (auto& node : nodes)
            node.election.note_report(report, now);
    }

    /// A call fails at once where the store can't be reached, and else ends after its wait.
    static void call(Node& node, Core::MonotonicTime now)
    {
        if (!node.election.is_on_duty(now))
            return;
        for (auto const watch : {WatchElection::Watch::Table, WatchElection::Watch::Servers}) {
            if (!node.reaches_store) {
                node.election.note_failure(watch, now);
                continue;
            }
            node.election.note_call(watch, now + s_call_limit);
            node.election.note_answer(watch);
        }
    }

    [[nodiscard]] std::size_t count_on_duty(Core::MonotonicTime now)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(nodes, [now](auto& node) { return node.is_alive && node.election.is_on_duty(now); }));
    }
    [[nodiscard]] bool has_sound_one(Core::MonotonicTime now)
    {
        return std::ranges::any_of(nodes,
            [now](auto const& node) { return node.is_alive && node.reaches_store && node.election.is_healthy(now); });
    }

    std::vector<Node> nodes;
};

}

RC_GTEST_PROP(WatchElection, SomebodyWhoReachesTheStoreWatchesSoonAfterAnyFailures, ())
{
    Fleet fleet(30);
    auto now = s_start;
    auto const rounds = *rc::gen::inRange(1, 6);
    for (int round = 0; round < rounds; ++round) {
        for (auto& node : fleet.nodes) {
            node.is_alive = *rc::gen::weightedElement<bool>({{2, true}, {1, false}});
            node.reaches_store = *rc::gen::weightedElement<bool>({{2, true}, {1, false}});
        }
        // A watch that has hung since its last call is noticed first, then a patience passes; it is at most twice the
        // least, and a failed try may come just before the store can be reached.
        for (auto const end = now + s_call_limit + s_patience * 4 + 200ms; now < end; now += 50ms)
            fleet.turn(now);
        bool const can_be_watched
            = std::ranges::any_of(fleet.nodes, [](auto const& node) { return node.is_alive && node.reaches_store; });
        RC_ASSERT(!can_be_watched || fleet.has_sound_one(now));
    }
    // When all is well again, only the elected ones go on.
    for (auto& node : fleet.nodes)
        node.is_alive = node.reaches_store = true;
    for (auto const end = now + s_call_limit + s_patience * 4; now < end; now += 50ms)
        fleet.turn(now);
    RC_ASSERT(fleet.count_on_duty(now) == 4U);
}

TEST(WatchElection, AStoreThatIsAwayIsNotStormed)
{
    Fleet fleet(100);
    for (auto& node : fleet.nodes)
        node.reaches_store = false;
    std::vector<unsigned> tries(fleet.nodes.size(), 0);
    for (auto now = s_start; now < s_start + 20s; now += 50ms) {
        for (std::size_t number = 0; number < tries.size(); ++number) {
            auto& node = fleet.nodes[number];
            tries[number] += node.election.is_on_duty(now) && !node.is_elected ? 1 : 0;
        }
        fleet.turn(now);
    }
    // Those who are not elected try no more often than each patience.
    for (auto const count : tries)
        EXPECT_LE(count, 20s / s_patience);
}

TEST(PeerView, ElectsAFewOfEachGroupAndAllOfASmallFleet)
{
    auto const count_elected = [](std::size_t count) {
        std::size_t elected = 0;
        for (std::size_t own = 0; own < count; ++own) {
            auto const make = [](std::size_t number) {
                return Peer {Core::concat("g-", number), Core::concat("domain-", number % 5),
                    Core::concat("10.0.0.1:", number + 1), s_start, true, Core::concat("10.0.0.1:", number + 5'000), 0};
            };
            PeerView view(make(own));
            for (std::size_t number = 0; number < count; ++number)
                view.note(make(number));
            elected += view.is_elected() ? 1 : 0;
        }
        return elected;
    };
    EXPECT_EQ(count_elected(4), 4U);
    EXPECT_EQ(count_elected(PeerView::s_small_fleet), PeerView::s_small_fleet);
    EXPECT_EQ(count_elected(103), 10U);
    EXPECT_EQ(count_elected(300), 10U);
}

}
