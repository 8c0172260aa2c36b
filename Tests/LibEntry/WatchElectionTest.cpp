// WatchElection: some gateway watches the store in time whatever fails, and only a few do while nothing fails.
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
constexpr Core::Milliseconds s_silence_timeout {1'000};
/// Longest wait of a watch, and the timeout of its call.
constexpr Core::Milliseconds s_watch_wait {2'000};
constexpr Core::Milliseconds s_call_limit {2'800};

WatchElection make_election()
{
    return WatchElection({s_silence_timeout}, s_start);
}

/// The process runs until `end` and receives no report.
void run_until(WatchElection& election, Core::MonotonicTime& now, Core::MonotonicTime end)
{
    for (; now < end; now += std::min<Core::MonotonicTime::duration>(100ms, end - now))
        election.note_tick(now);
    election.note_tick(now);
}

/// The process starts and its peers do not know it yet; meanwhile it must not watch the store.
void join_for(Core::Milliseconds duration, WatchElection& election, Core::MonotonicTime& now,
    WatchElection::PeerDiscovery discovery)
{
    for (auto const end = now + duration; now < end; now += 100ms) {
        election.note_tick(now);
        election.note_joining(discovery, now);
        EXPECT_FALSE(election.is_on_duty(now));
    }
}

/// Both watches are answered, and their next calls are in flight.
void answer_watches(WatchElection& election, Core::MonotonicTime now)
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

TEST(WatchElection, DoesNotWatchWhileAHealthyWatchIsReported)
{
    auto election = make_election();
    for (auto now = s_start; now < s_start + 1min; now += 100ms) {
        election.note_tick(now);
        election.note_report(report_of_elected(now), now);
        EXPECT_FALSE(election.is_on_duty(now));
        EXPECT_GT(election.next_check(now), now);
    }
}

TEST(WatchElection, TakesOverWhenNoHealthyWatchIsReported)
{
    auto election = make_election();
    election.note_report(report_of_elected(s_start), s_start);
    EXPECT_EQ(election.next_check(s_start), s_start + s_silence_timeout);
    auto now = s_start;
    run_until(election, now, s_start + s_silence_timeout - 1ms);
    EXPECT_FALSE(election.is_on_duty(now));
    EXPECT_TRUE(election.is_store_suspected(s_start + s_silence_timeout));
    EXPECT_TRUE(election.is_on_duty(s_start + s_silence_timeout));
    // It reports a healthy watch only once its calls are answered.
    EXPECT_FALSE(election.report(s_start + s_silence_timeout).any_healthy_at > s_start);
    answer_watches(election, s_start + s_silence_timeout);
    EXPECT_EQ(election.report(s_start + s_silence_timeout).any_healthy_at, s_start + s_silence_timeout);
    EXPECT_EQ(election.report(s_start + s_silence_timeout).elected_healthy_at, s_start);
}

TEST(WatchElection, TakesOverAlthoughPeersEchoTheLastReportOfAHealthyWatch)
{
    auto election = make_election();
    election.note_report(report_of_elected(s_start), s_start);
    auto now = s_start;
    while (now < s_start + 2 * s_silence_timeout && !election.is_on_duty(now)) {
        now += 50ms;
        election.note_tick(now);
        // Delays on the way to a peer and back make the report seem younger each time.
        auto const known = *election.report(now).elected_healthy_at;
        election.note_report(report_of_elected(known + 20ms), now);
    }
    EXPECT_EQ(now, s_start + s_silence_timeout);
}

TEST(WatchElection, StopsWatchingWhenAnElectedWatcherIsHealthyAgain)
{
    auto election = make_election();
    auto now = s_start;
    run_until(election, now, s_start + s_silence_timeout);
    ASSERT_TRUE(election.is_on_duty(now));
    // Reports of gateways that were not elected, its own among them, do not end its duty.
    run_until(election, now, now + WatchElection::s_min_duty_time);
    election.note_report({std::nullopt, now, {}}, now);
    EXPECT_TRUE(election.is_on_duty(now));
    election.note_report(report_of_elected(now), now);
    EXPECT_FALSE(election.is_on_duty(now));
}

TEST(WatchElection, ReadsFromTheStoreAVersionThatWasNotReceived)
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
    // Once it has the version, the elected watchers suffice again.
    run_until(election, now, now + WatchElection::s_min_duty_time);
    election.note_report(report_of_elected(now), now);
    EXPECT_TRUE(election.is_on_duty(now));
    election.note_versions({Core::TableVersion(5), {}, {}}, now);
    EXPECT_FALSE(election.is_on_duty(now));
}

// Guards against counting the own stall as silence of the watchers. When all processes of a host were stopped or
// starved for some seconds and ran again, every gateway on it listed everything from the store.
TEST(WatchElection, IgnoresSilenceDuringItsOwnStall)
{
    auto election = make_election();
    auto now = s_start;
    for (; now < s_start + 5s; now += 100ms) {
        election.note_tick(now);
        election.note_report(report_of_elected(now), now);
    }
    now += 10s;
    // Also if the follower's thread runs before the tick.
    EXPECT_FALSE(election.is_on_duty(now));
    election.note_tick(now);
    // From here on there really are no reports.
    for (auto const end = now + s_silence_timeout; now < end; now += 100ms) {
        election.note_tick(now);
        EXPECT_FALSE(election.is_on_duty(now));
    }
    election.note_tick(now);
    EXPECT_TRUE(election.is_on_duty(now));
}

// Guards against a stall within the first 100 ms of a process. Its gateways had received no report yet, and all of them
// listed everything from the store when they ran again: seven watchers in place of two.
TEST(WatchElection, IgnoresSilenceDuringAStallRightAfterItsStart)
{
    auto election = make_election();
    auto now = s_start + 2'200ms;
    // Also if the follower's thread runs before the tick.
    EXPECT_FALSE(election.is_on_duty(now));
    run_until(election, now, now + s_silence_timeout - 100ms);
    EXPECT_FALSE(election.is_on_duty(now));
    election.note_report(report_of_elected(now), now);
    run_until(election, now, now + 200ms);
    EXPECT_FALSE(election.is_on_duty(now));
}

// Guards against a timeout that restarts with each stall. On a host that stalled for 800 ms in each 1,300 ms, no
// gateway ever took over from watchers that had died.
TEST(WatchElection, TakesOverAlthoughItsHostStallsRepeatedly)
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
    // The silence timeout, in stretches of 500 ms.
    EXPECT_LE(stretches, s_silence_timeout / 500ms + 1);
}

// Guards against ignoring all late ticks. On a host whose processors were taken by other work each tick was late, none
// counted, and no gateway took over from watchers that had died.
TEST(WatchElection, TakesOverAlthoughEachTickIsLate)
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

// Guards against counting the own late tick against a watch. The reply arrived in time, but the thread that records it
// had no processor time; the watcher reported a failed watch, and other gateways took over.
TEST(WatchElection, DoesNotCountItsOwnLateTickAgainstAWatch)
{
    auto election = make_election();
    election.set_elected(true);
    election.note_tick(s_start);
    answer_watches(election, s_start);
    auto const now = s_start + s_call_limit + 1s;
    election.note_tick(now);
    EXPECT_TRUE(election.is_healthy(now));
    EXPECT_FALSE(election.is_healthy(now + s_call_limit + 1ms));
}

// Guards against counting silence before peers know a new gateway. On a host without spare processor time it received
// no report in its first second and listed everything from the store.
TEST(WatchElection, DoesNotCountSilenceWhileItJoins)
{
    auto election = make_election();
    auto now = s_start;
    join_for(2 * s_silence_timeout, election, now, WatchElection::PeerDiscovery::Found);
    auto const joined = now - 100ms;
    run_until(election, now, joined + s_silence_timeout - 1ms);
    EXPECT_FALSE(election.is_on_duty(now));
    run_until(election, now, joined + s_silence_timeout);
    EXPECT_TRUE(election.is_on_duty(now));
}

// The follower's thread checks between the ticks of the thread that joins, which are up to 150 ms late.
TEST(WatchElection, DoesNotTakeOverBetweenTheTicksOfAJoiningGateway)
{
    auto election = make_election();
    auto now = s_start;
    for (; now < s_start + 2 * s_silence_timeout; now += 250ms) {
        election.note_tick(now);
        election.note_joining(WatchElection::PeerDiscovery::NotFound, now);
        EXPECT_FALSE(election.is_on_duty(now + 240ms));
    }
}

TEST(WatchElection, TakesOverAfterJoiningIfNoPeerIsFound)
{
    auto election = make_election();
    auto now = s_start;
    join_for(2 * s_silence_timeout, election, now, WatchElection::PeerDiscovery::NotFound);
    run_until(election, now, now + 250ms);
    EXPECT_TRUE(election.is_on_duty(now));
}

TEST(WatchElection, IsNotBehindWhileVersionsKeepArriving)
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
        // Each version arrives when the next one is already known.
        election.note_versions({{}, {}, ListRevision(version)}, now);
    }
}

TEST(WatchElection, AHangingWatchIsNotHealthy)
{
    auto election = make_election();
    election.set_elected(true);
    answer_watches(election, s_start);
    EXPECT_TRUE(election.is_healthy(s_start + s_call_limit));
    EXPECT_FALSE(election.is_healthy(s_start + s_call_limit + 1ms));
    election.note_failure(WatchElection::Watch::Servers, s_start);
    EXPECT_FALSE(election.is_healthy(s_start));
    EXPECT_TRUE(election.is_on_duty(s_start));
}

TEST(WatchElection, RetriesAFailedCallOnlyAfterTheSilenceTimeout)
{
    auto election = make_election();
    auto now = s_start;
    run_until(election, now, s_start + s_silence_timeout);
    unsigned tries = 0;
    for (; now < s_start + s_silence_timeout * 10; now += 10ms) {
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

/// Gateways that receive each other's reports, and a store that each of them may be unable to reach.
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
            // As in WatchDuty, timeouts differ between gateways.
            auto const silence_timeout
                = s_silence_timeout + s_silence_timeout * static_cast<int>(number) / static_cast<int>(count);
            nodes.push_back({WatchElection({silence_timeout}, s_start), number < 4});
            nodes.back().election.set_elected(nodes.back().is_elected);
        }
    }

    void tick(Core::MonotonicTime now)
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

    /// A call fails at once if the store is unreachable, and is answered otherwise.
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
    [[nodiscard]] bool has_healthy_watch(Core::MonotonicTime now)
    {
        return std::ranges::any_of(nodes,
            [now](auto const& node) { return node.is_alive && node.reaches_store && node.election.is_healthy(now); });
    }

    std::vector<Node> nodes;
};

}

RC_GTEST_PROP(WatchElection, AGatewayThatReachesTheStoreWatchesSoonAfterAnyFailures, ())
{
    Fleet fleet(30);
    auto now = s_start;
    auto const rounds = *rc::gen::inRange(1, 6);
    for (int round = 0; round < rounds; ++round) {
        for (auto& node : fleet.nodes) {
            node.is_alive = *rc::gen::weightedElement<bool>({{2, true}, {1, false}});
            node.reaches_store = *rc::gen::weightedElement<bool>({{2, true}, {1, false}});
        }
        // A watch that hangs since its last call is noticed first, then a silence timeout passes. That is at most twice
        // the shortest one, and a call may fail just before the store becomes reachable.
        for (auto const end = now + s_call_limit + s_silence_timeout * 4 + 200ms; now < end; now += 50ms)
            fleet.tick(now);
        bool const can_be_watched
            = std::ranges::any_of(fleet.nodes, [](auto const& node) { return node.is_alive && node.reaches_store; });
        RC_ASSERT(!can_be_watched || fleet.has_healthy_watch(now));
    }
    // Once nothing fails, only the elected gateways watch.
    for (auto& node : fleet.nodes)
        node.is_alive = node.reaches_store = true;
    for (auto const end = now + s_call_limit + s_silence_timeout * 4; now < end; now += 50ms)
        fleet.tick(now);
    RC_ASSERT(fleet.count_on_duty(now) == 4U);
}

TEST(WatchElection, LimitsRetriesWhileTheStoreIsUnavailable)
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
        fleet.tick(now);
    }
    // Gateways that were not elected retry at most once per silence timeout.
    for (auto const count : tries)
        EXPECT_LE(count, 20s / s_silence_timeout);
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
