// Guards against the loss of quarantined requests when all gateways stop at the same time, and against side effects of
// failures of the store.
#include "NullDescriptor.h"

#include <LibCluster/QuarantineKeeper.h>

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace GraniteField::Cluster {

namespace {

/// Implements the calls of the platform's store that the keeper uses.
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
            throw Platform::VersionConflict("the object exists");
        if (loses_answers)
            throw Platform::PlatformUnavailable("no answer");
    }

    void remove(std::string_view, std::string const& name)
    {
        begin_call();
        m_objects.erase(name);
    }

    [[nodiscard]] bool has(Core::RequestDigest const& digest) const { return m_objects.contains(digest.to_string()); }

    bool is_unreachable {false};
    bool loses_answers {false};
    int calls {0};

private:
    void begin_call()
    {
        ++calls;
        if (is_unreachable)
            throw Platform::PlatformUnavailable("unreachable");
    }

    std::map<std::string, Platform::Json> m_objects;
};

/// One gateway process with its keeper.
struct GatewayProcess {
    explicit GatewayProcess(FakeStore& store)
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

Core::RequestDigest const s_digest = Core::RequestDigest::of("/deadly", "caller", "body");
QuarantineChange const s_added {QuarantineChange::Kind::Added, s_digest};
QuarantineChange const s_removed {QuarantineChange::Kind::Removed, s_digest};

}

TEST(QuarantineKeeper, RestoresQuarantinedRequestsAfterAllGatewaysStopped)
{
    FakeStore store;
    {
        GatewayProcess before(store);
        before.shared.add_change(s_added);
        before.keeper.step();
    }
    GatewayProcess after(store);
    after.keeper.step();
    EXPECT_EQ(after.shared.take_loaded(), std::vector {s_digest});
    // A request that was read from the store is not written again.
    after.shared.add_change(s_added);
    auto const calls = store.calls;
    after.keeper.step();
    EXPECT_EQ(store.calls, calls);
}

TEST(QuarantineKeeper, RetriesUntilTheStoreIsReachableWithoutLosingChanges)
{
    FakeStore store;
    store.is_unreachable = true;
    GatewayProcess process(store);
    process.shared.add_change(s_added);
    auto const first = process.keeper.step();
    auto const second = process.keeper.step();
    EXPECT_GT(second, first);
    store.is_unreachable = false;
    process.keeper.step();
    EXPECT_TRUE(store.has(s_digest));
}

TEST(QuarantineKeeper, ToleratesALostAnswerAndAnObjectThatExists)
{
    FakeStore store;
    store.loses_answers = true;
    GatewayProcess first(store);
    first.shared.add_change(s_added);
    first.keeper.step();
    ASSERT_TRUE(store.has(s_digest));
    store.loses_answers = false;
    first.keeper.step();
    GatewayProcess second(store);
    second.shared.add_change(s_added);
    second.keeper.step();
    EXPECT_TRUE(store.has(s_digest));
}

TEST(QuarantineKeeper, RemovesReleasedRequestsFromTheStore)
{
    FakeStore store;
    GatewayProcess process(store);
    process.shared.add_change(s_added);
    process.keeper.step();
    process.shared.add_change(s_removed);
    process.keeper.step();
    EXPECT_FALSE(store.has(s_digest));
    GatewayProcess after(store);
    after.keeper.step();
    EXPECT_TRUE(after.shared.take_loaded().empty());
}

TEST(QuarantineKeeper, MakesNoCallUnlessItWatchesTheStore)
{
    FakeStore store;
    GatewayProcess process(store);
    process.keeper.set_watching(false);
    process.shared.add_change(s_added);
    process.keeper.step();
    EXPECT_EQ(store.calls, 0);
}

}
