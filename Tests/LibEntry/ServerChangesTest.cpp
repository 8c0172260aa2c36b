// Guards the cost of a change of one backend server. It once sent the whole list to every gateway, which cost bytes in
// proportion to gateways, servers and changes.
#include <LibCore/Text.h>
#include <LibEntry/PeerMessages.h>
#include <LibEntry/ServerChanges.h>

#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Entry {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_now {1h};

ServerEntry server(unsigned number, unsigned slots = 64)
{
    ServerEntry entry;
    entry.instance = Core::concat("i-", 1'000 + number);
    entry.service = "svc";
    entry.address = *Core::Address::from_string(Core::concat("10.1.", number / 250, ".", number % 250, ":8080"));
    entry.failure_domain = "here";
    entry.slots = slots;
    return entry;
}

ServerList list_of(unsigned count, std::uint64_t revision)
{
    ServerList list;
    list.revision = ListRevision(revision);
    for (unsigned number = 0; number < count; ++number)
        list.servers.push_back(server(number));
    return list;
}

std::shared_ptr<ServerList const> make_shared_list(ServerList list)
{
    return std::make_shared<ServerList const>(std::move(list));
}

/// Encodes and decodes the changes, as on the way to a peer.
ServerChanges sent_and_received(ServerChanges const& changes)
{
    return *from_message(to_message(changes, s_now), s_now);
}

}

TEST(ServerChanges, CarriesTheSoftwareVersion)
{
    auto const before = list_of(2, 1);
    auto after = list_of(2, 2);
    after.servers.back().software_version = "v2";
    auto const received = sent_and_received(difference(before, after));
    ASSERT_EQ(received.changed.size(), 1U);
    EXPECT_EQ(received.changed.front().software_version, "v2");
    EXPECT_NE(digest_of(before), digest_of(after));
    EXPECT_TRUE(apply_changes(received, make_shared_list(before)));
}

// The size of an update must not depend on the size of the fleet: the whole list of 640 servers took 10 KB and more.
TEST(ServerChanges, EncodesOneServerInConstantSizeForAnyFleet)
{
    auto const bytes_of_a_change = [](unsigned count) {
        auto const before = list_of(count, 1);
        auto after = list_of(count, 2);
        after.servers.front().state = Table::BackendServerState::Leaving;
        return to_message(difference(before, after), s_now).ByteSizeLong();
    };
    EXPECT_LE(bytes_of_a_change(10'000), bytes_of_a_change(10) + 8);
    EXPECT_LT(bytes_of_a_change(10'000), 200U);
}

// Servers are added, removed and changed in any order. A peer with any earlier list, or none, must obtain the newest
// one.
RC_GTEST_PROP(ServerChanges, UpdateAnyKnownListToTheNewest, ())
{
    ServerHistory history;
    std::vector<std::shared_ptr<ServerList const>> lists;
    auto current = list_of(5, 1);
    auto const steps = *rc::gen::inRange<std::size_t>(1, 30);
    for (std::size_t step = 0; step < steps; ++step) {
        lists.push_back(make_shared_list(current));
        history.note(lists.back());
        auto const number = *rc::gen::inRange<unsigned>(0, 10);
        auto const slots = *rc::gen::inRange<unsigned>(0, 3);
        std::erase_if(current.servers, [&](auto const& item) { return item.instance == server(number).instance; });
        if (slots > 0)
            current.servers.push_back(server(number, slots));
        std::ranges::sort(current.servers, {}, &ServerEntry::instance);
        current.revision = current.revision.next();
    }
    auto const newest = lists.back();
    for (auto const& known : lists) {
        if (known == newest)
            continue;
        auto const changes = history.changes_since(known->revision);
        RC_ASSERT(changes.has_value());
        auto const list = apply_changes(sent_and_received(*changes), known);
        RC_ASSERT(list.has_value());
        RC_ASSERT(list->servers == newest->servers);
        RC_ASSERT(list->revision == newest->revision);
    }
    auto const whole = apply_changes(sent_and_received(difference(ServerList(), *newest)), nullptr);
    RC_ASSERT(whole && whole->servers == newest->servers);
}

// A removal has no revision of its own, so that two gateways may have different lists under one revision.
TEST(ServerChanges, AreRejectedForAnotherListOfTheSameRevision)
{
    auto const before = list_of(5, 1);
    auto after = list_of(6, 2);
    auto const changes = difference(before, after);
    EXPECT_TRUE(apply_changes(changes, make_shared_list(list_of(5, 1))));
    EXPECT_FALSE(apply_changes(changes, make_shared_list(list_of(4, 1))));
    EXPECT_FALSE(apply_changes(changes, make_shared_list(list_of(5, 3))));
    EXPECT_FALSE(apply_changes(changes, nullptr));
}

TEST(ServerChanges, CarryTheRemainingColdTime)
{
    auto after = list_of(1, 2);
    after.servers.front().cold_until = s_now + 2s;
    auto const list
        = apply_changes(sent_and_received(difference(list_of(1, 1), after)), make_shared_list(list_of(1, 1)));
    ASSERT_TRUE(list);
    EXPECT_EQ(list->servers.front().cold_until, s_now + 2s);
}

TEST(ServerHistory, RestartsWhenAListIsReplacedUnderItsRevision)
{
    ServerHistory history;
    history.note(make_shared_list(list_of(5, 1)));
    history.note(make_shared_list(list_of(5, 2)));
    EXPECT_TRUE(history.changes_since(ListRevision(1)));
    history.note(make_shared_list(list_of(4, 2)));
    EXPECT_FALSE(history.changes_since(ListRevision(1)));
}

}
