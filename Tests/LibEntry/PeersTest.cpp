// PeerView, SharedTable and TableHistory: neighbours, the choice of watchers, and the edits between versions.
#include <LibCore/Text.h>
#include <LibEntry/PeerView.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedTable.h>
#include <LibEntry/TableHistory.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Entry {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_now {1h};

Peer make_peer(std::size_t number, std::size_t regions, Core::MonotonicTime last_heard = s_now)
{
    return {Core::concat("entry-", number), Core::concat("region-", number % regions),
        Core::concat("10.0.0.1:", number + 1), last_heard, true, "", 0};
}

std::vector<PeerView> make_views(std::size_t count, std::size_t regions)
{
    std::vector<PeerView> views;
    for (std::size_t number = 0; number < count; ++number) {
        auto& view = views.emplace_back(make_peer(number, regions));
        for (std::size_t other = 0; other < count; ++other)
            view.note(make_peer(other, regions));
    }
    return views;
}

/// Returns the number of announcement rounds until an update of one entry has reached all.
std::size_t rounds_to_reach_all(std::vector<PeerView> const& views)
{
    std::set<std::string> reached {views.front().self().name};
    std::size_t rounds = 0;
    while (reached.size() < views.size() && rounds < 100) {
        std::set<std::string> newly_reached = reached;
        for (auto const& view : views) {
            if (!reached.contains(view.self().name))
                continue;
            for (auto const& neighbour : view.neighbours())
                newly_reached.insert(neighbour.name);
        }
        reached = std::move(newly_reached);
        ++rounds;
    }
    return rounds;
}

}

TEST(PeerView, ReachesAllEntriesOfAFullSizeFleetInFewRounds)
{
    auto const views = make_views(950, 6);
    EXPECT_EQ(views.front().neighbours().size(), 10U);
    EXPECT_LE(rounds_to_reach_all(views), 10U);
}

TEST(PeerView, ElectsTwoWatchersInEachRegion)
{
    std::map<std::string, std::size_t> watchers;
    for (auto const& view : make_views(950, 6)) {
        if (view.should_watch())
            ++watchers[view.self().group];
    }
    EXPECT_EQ(watchers.size(), 6U);
    for (auto const& [region, count] : watchers)
        EXPECT_EQ(count, PeerView::s_watchers_per_group) << region;
}

TEST(PeerView, ElectsAnotherWatcherWhenOneCannotReachThePlatform)
{
    auto views = make_views(10, 1);
    auto const first = std::ranges::find_if(views, [](auto const& view) { return view.should_watch(); });
    auto unreachable = first->self();
    unreachable.is_platform_reachable = false;
    unreachable.last_heard = s_now + 1s;
    first->set_platform_reachable(false);
    EXPECT_FALSE(first->should_watch());
    for (auto& view : views)
        view.note(unreachable);
    EXPECT_EQ(std::ranges::count_if(views, [](auto const& view) { return view.should_watch(); }), 2);
}

TEST(PeerView, WatchesWhenNoEntryReachesThePlatform)
{
    PeerView view(make_peer(0, 1));
    view.set_platform_reachable(false);
    EXPECT_TRUE(view.should_watch());
}

TEST(PeerView, RemovesSilentPeersAndKeepsTheLatestRecord)
{
    PeerView view(make_peer(0, 1));
    view.note(make_peer(1, 1, s_now));
    auto older = make_peer(1, 1, s_now - 10s);
    older.address = "10.0.0.9:9";
    view.note(older);
    EXPECT_EQ(view.neighbours().front().address, make_peer(1, 1).address);
    view.remove_timed_out(s_now + PeerView::s_peer_timeout);
    EXPECT_EQ(view.count(), 1U);
    view.remove_timed_out(s_now + PeerView::s_peer_timeout + 1ms);
    EXPECT_EQ(view.count(), 0U);
}

TEST(PeerView, SamplesAllPeersInRotation)
{
    auto view = make_views(20, 1).front();
    std::set<std::string> seen;
    for (int round = 0; round < 5; ++round) {
        for (auto const& peer : view.sample(4))
            seen.insert(peer.name);
    }
    EXPECT_EQ(seen.size(), 19U);
}

RC_GTEST_PROP(SharedTable, NeverReplacesATableByAnOlderOne, (std::vector<std::uint8_t> const& versions))
{
    SharedTable shared;
    std::uint64_t highest = 0;
    for (auto const version : versions) {
        Table::Table table;
        table.set_version(Core::TableVersion(version));
        shared.offer(std::move(table));
        highest = std::max<std::uint64_t>(highest, version);
        RC_ASSERT(shared.current()->version().value() == highest);
    }
}

RC_GTEST_PROP(TableHistory, ReturnsEditsFromAnyKnownVersionToTheCurrentOne, ())
{
    TableHistory history;
    std::vector<Table::Table> tables {Table::Table()};
    auto const steps = *rc::gen::inRange(1, 20);
    for (int step = 0; step < steps; ++step) {
        auto const row = Core::concat("row-", *rc::gen::inRange(0, 4));
        Table::Change change {{{Table::SheetName::Classes, row, "tier"}, std::to_string(*rc::gen::inRange(1, 7))}};
        bool const should_remove = *rc::gen::arbitrary<bool>() && tables.back().has_row(Table::SheetName::Classes, row);
        if (should_remove)
            change = {{{Table::SheetName::Classes, row, ""}, std::nullopt}};
        tables.push_back(tables.back().with(change));
        history.note(std::make_shared<Table::Table const>(tables.back()));
    }
    for (auto const& table : tables) {
        auto const edits = history.edits_since(table.version());
        if (!edits)
            continue;
        RC_ASSERT(Table::difference(table.with(*edits), tables.back()).empty());
    }
}

}
