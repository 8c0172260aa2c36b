#include <LibGateway/ServerRoster.h>

#include <algorithm>

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

using namespace std::chrono_literals;

Entry::ServerEntry server(std::string instance)
{
    Entry::ServerEntry entry;
    entry.instance = std::move(instance);
    entry.service = "svc";
    return entry;
}

bool has(ServerRoster const& roster, std::string const& instance)
{
    auto const list = roster.list();
    return std::ranges::any_of(list.servers, [&](auto const& entry) { return entry.instance == instance; });
}

constexpr Core::MonotonicTime s_start {std::chrono::hours(1)};

}

TEST(ServerRoster, RemovesAtOnceWhileTheStoreIsAvailable)
{
    ServerRoster roster;
    roster.apply_list({server("a"), server("b")}, Entry::ListRevision(1), s_start);
    roster.apply_removal("a", s_start);
    EXPECT_FALSE(has(roster, "a"));
    EXPECT_FALSE(roster.list().is_provisional);
}

TEST(ServerRoster, IgnoresEntriesOfAnEarlierRun)
{
    auto const entry_of_run = [](int born, unsigned slots) {
        auto entry = server("a");
        entry.born = Platform::BirthTime(Core::Milliseconds(born));
        entry.slots = slots;
        return entry;
    };
    ServerRoster roster;
    roster.apply_entry(entry_of_run(2'000, 8));
    roster.apply_entry(entry_of_run(1'000, 4));
    EXPECT_EQ(roster.list().servers.front().slots, 8U);
    roster.apply_entry(entry_of_run(3'000, 16));
    EXPECT_EQ(roster.list().servers.front().slots, 16U);
}

TEST(ServerRoster, KeepsEntriesThatExpiredInAStoreOutage)
{
    ServerRoster roster;
    roster.apply_list({server("a"), server("b")}, Entry::ListRevision(1), s_start);
    roster.note_store_lost();
    auto const available_again = s_start + 5s;
    roster.note_store_available(available_again);
    roster.apply_list({}, Entry::ListRevision(5), available_again);
    EXPECT_TRUE(has(roster, "a"));
    EXPECT_TRUE(roster.list().is_provisional);
    roster.apply_entry(server("a"));
    EXPECT_FALSE(roster.settle(available_again + 1s));
    EXPECT_TRUE(has(roster, "b"));
    EXPECT_TRUE(roster.settle(available_again + 2s));
    EXPECT_TRUE(has(roster, "a"));
    EXPECT_FALSE(has(roster, "b"));
    EXPECT_FALSE(roster.list().is_provisional);
}

TEST(ServerRoster, DropsARemovedServerAtOnceWhereWatchersWereSilent)
{
    ServerRoster roster;
    roster.apply_list({server("a"), server("b"), server("c")}, Entry::ListRevision(1), s_start);
    roster.note_store_lost();
    roster.note_store_available(s_start + 2s);
    roster.apply_removal("a", s_start + 2s);
    roster.set_revision(Entry::ListRevision(2));
    EXPECT_FALSE(has(roster, "a"));
    EXPECT_FALSE(roster.list().is_provisional);
}

TEST(ServerRoster, KeepsAllMissingEntriesOfAServiceThatExpired)
{
    ServerRoster roster;
    roster.apply_list({server("a"), server("b"), server("c")}, Entry::ListRevision(1), s_start);
    roster.note_store_lost();
    roster.note_store_available(s_start + 5s);
    roster.apply_list({}, Entry::ListRevision(5), s_start + 5s);
    // The first ones are back.
    roster.apply_list({server("a"), server("b")}, Entry::ListRevision(7), s_start + 6s);
    EXPECT_TRUE(has(roster, "c"));
    EXPECT_TRUE(roster.settle(s_start + 7s));
    EXPECT_FALSE(has(roster, "c"));
}

TEST(ServerRoster, RemovesLeavingServersAfterAStoreOutage)
{
    ServerRoster roster;
    auto leaving = server("a");
    leaving.state = Table::BackendServerState::Leaving;
    roster.apply_list({leaving}, Entry::ListRevision(1), s_start);
    roster.note_store_lost();
    roster.note_store_available(s_start + 5s);
    roster.apply_list({}, Entry::ListRevision(5), s_start + 5s);
    EXPECT_FALSE(has(roster, "a"));
}

TEST(ServerRoster, AdoptsTheRemovalOfAServerFromAPeer)
{
    ServerRoster roster;
    roster.apply_list({server("a"), server("b")}, Entry::ListRevision(1), s_start);
    roster.note_store_lost();
    Entry::ServerList peer_list;
    peer_list.revision = Entry::ListRevision(4);
    peer_list.servers = {server("b")};
    roster.adopt(peer_list);
    roster.note_store_available(s_start + 5s);
    roster.apply_list({server("b")}, Entry::ListRevision(5), s_start + 5s);
    EXPECT_FALSE(has(roster, "a"));
}

TEST(ServerRoster, DoesNotShareAProvisionalList)
{
    Entry::SharedServers shared;
    Entry::ServerList settled;
    settled.revision = Entry::ListRevision(1);
    Entry::ServerList provisional;
    provisional.revision = Entry::ListRevision(2);
    provisional.is_provisional = true;
    EXPECT_TRUE(shared.replace(settled));
    EXPECT_TRUE(shared.replace(provisional));
    EXPECT_EQ(shared.current()->revision, Entry::ListRevision(2));
    EXPECT_EQ(shared.settled()->revision, Entry::ListRevision(1));
    EXPECT_EQ(shared.settled_revision(), Entry::ListRevision(1));
    EXPECT_FALSE(shared.offer(settled));
}

TEST(SharedServers, SettlesAProvisionalListByAPeersListOfTheSameRevision)
{
    Entry::SharedServers shared;
    Entry::ServerList provisional;
    provisional.revision = Entry::ListRevision(2);
    provisional.is_provisional = true;
    provisional.servers = {server("removed")};
    ASSERT_TRUE(shared.replace(provisional));
    Entry::ServerList settled;
    settled.revision = Entry::ListRevision(2);
    EXPECT_TRUE(shared.offer(settled));
    EXPECT_TRUE(shared.current()->servers.empty());
    EXPECT_EQ(shared.settled_revision(), Entry::ListRevision(2));
    EXPECT_FALSE(shared.offer(settled));
}

}
