// That a quarantined request is known after all gateways were gone at one moment, and that the store's troubles cost
// nothing else.
#include "NullDescriptor.h"

#include <LibCluster/QuarantineKeeper.h>

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace GraniteField::Cluster {

namespace {

/// The platform's store, as far as the keeper uses it.
class FakeStore {
public:
    Platform::ObjectListing list(std::string_view)
    {
        begin_call();
        Platform::ObjectListing listing;
        for (auto const& [name, spec] : m_objects)
            listing.objects.push_back({name, {}, spec});
        return listing;
    }

    void create(std::string_view, std::string const& name, Platform::Json const& spec)
    {
        begin_call();
        if (!m_objects.emplace(name, spec).second)
            throw Platform::VersionConflict("there is one");
        if (loses_answers)
            throw Platform::PlatformUnavailable("no answer");
    }

    void remove(std::string_view, std::string const& name)
    {
        begin_call();
        m_objects.erase(name);
    }

    [[nodiscard]] bool has(Core::RequestDigest const& digest) const { return m_objects.contains(digest.to_string()); }

    bool is_away {false};
    bool loses_answers {false};
    int calls {0};

private:
    void begin_call()
    {
        ++calls;
        if (is_away)
            throw Platform::PlatformUnavailable("away");
    }

    std::map<std::string, Platform::Json> m_objects;
};

/// One process that keeps what is quarantined.
struct Keeper {
    explicit Keeper(FakeStore& store)
        : keeper(shared, store, log)
    {
        keeper.set_watching(true);
    }

    Testing::NullDescriptor log_descriptor;
    Observe::MetricRegistry metrics;
    Observe::EventLog log {log_descriptor.number(), "gateway-1", Core::Incarnation(1), metrics};
    SharedQuarantine shared;
    QuarantineKeeper<FakeStore> keeper;
};

Core::RequestDigest const s_deadly = Core::RequestDigest::of("/deadly", "caller", "body");
QuarantineChange const s_added {QuarantineChange::Kind::Added, s_deadly};
QuarantineChange const s_removed {QuarantineChange::Kind::Removed, s_deadly};

}

TEST(QuarantineKeeper, WhatIsHeldIsKnownAfterAllGatewaysWereGone)
{
    FakeStore store;
    {
        Keeper before(store);
        before.shared.add_change(s_added);
        before.keeper.step();
    }
    Keeper after(store);
    after.keeper.step();
    EXPECT_EQ(after.shared.take_loaded(), std::vector {s_deadly});
    // It is not written again by those who have read it.
    after.shared.add_change(s_added);
    auto const calls = store.calls;
    after.keeper.step();
    EXPECT_EQ(store.calls, calls);
}

TEST(QuarantineKeeper, WaitsForTheStoreWithoutLosingAnything)
{
    FakeStore store;
    store.is_away = true;
    Keeper keeper(store);
    keeper.shared.add_change(s_added);
    auto const first = keeper.keeper.step();
    auto const second = keeper.keeper.step();
    EXPECT_GT(second, first);
    store.is_away = false;
    keeper.keeper.step();
    EXPECT_TRUE(store.has(s_deadly));
}

TEST(QuarantineKeeper, ALostAnswerAndAnotherWatcherChangeNothing)
{
    FakeStore store;
    store.loses_answers = true;
    Keeper first(store);
    first.shared.add_change(s_added);
    first.keeper.step();
    ASSERT_TRUE(store.has(s_deadly));
    store.loses_answers = false;
    first.keeper.step();
    Keeper second(store);
    second.shared.add_change(s_added);
    second.keeper.step();
    EXPECT_TRUE(store.has(s_deadly));
}

TEST(QuarantineKeeper, WhatIsReleasedIsGoneFromTheStore)
{
    FakeStore store;
    Keeper keeper(store);
    keeper.shared.add_change(s_added);
    keeper.keeper.step();
    keeper.shared.add_change(s_removed);
    keeper.keeper.step();
    EXPECT_FALSE(store.has(s_deadly));
    Keeper after(store);
    after.keeper.step();
    EXPECT_TRUE(after.shared.take_loaded().empty());
}

TEST(QuarantineKeeper, WhoDoesNotWatchTheStoreMakesNoCall)
{
    FakeStore store;
    Keeper keeper(store);
    keeper.keeper.set_watching(false);
    keeper.shared.add_change(s_added);
    keeper.keeper.step();
    EXPECT_EQ(store.calls, 0);
}

}
