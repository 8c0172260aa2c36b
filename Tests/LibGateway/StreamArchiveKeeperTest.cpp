// Guards against the loss of what gateways know of begun streams when all of them are killed at once, and against side
// effects of failures of the store.
#include "NullDescriptor.h"

#include <LibGateway/StreamArchiveKeeper.h>

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

using namespace std::chrono_literals;

/// Implements the calls of the platform's store that the keeper uses.
class FakeStore {
public:
    Platform::ObjectListing list(std::string_view)
    {
        begin_call();
        Platform::ObjectListing listing;
        for (auto const& [name, object] : m_objects)
            listing.objects.push_back(object);
        return listing;
    }
    std::optional<Platform::Object> read(std::string_view, std::string const& name)
    {
        begin_call();
        auto const found = m_objects.find(name);
        return found == m_objects.end() ? std::nullopt : std::optional(found->second);
    }
    Platform::ObjectVersion create(std::string_view, std::string const& name, Platform::Json const& spec)
    {
        begin_call();
        if (m_objects.contains(name))
            throw Platform::VersionConflict("the object exists");
        return put(name, spec);
    }
    Platform::ObjectVersion update(
        std::string_view, std::string const& name, Platform::ObjectVersion expected, Platform::Json const& spec)
    {
        begin_call();
        auto const found = m_objects.find(name);
        if (found == m_objects.end())
            throw Platform::PlatformUnavailable("status 404");
        if (found->second.version != expected)
            throw Platform::VersionConflict("another version");
        return put(name, spec);
    }
    void remove(std::string_view, std::string const& name)
    {
        begin_call();
        m_objects.erase(name);
    }

    Platform::ObjectVersion put(std::string const& name, Platform::Json const& spec)
    {
        m_revision = m_revision.next();
        m_objects[name] = {name, m_revision, spec};
        if (loses_answers)
            throw Platform::PlatformUnavailable("no answer");
        return m_revision;
    }
    [[nodiscard]] bool has(std::string const& name) const { return m_objects.contains(name); }

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

    Platform::ObjectVersion m_revision;
    std::map<std::string, Platform::Object> m_objects;
};

constexpr double s_writes_per_second = 100;
StreamOrigin const s_first {"svc", "v1"};
StreamOrigin const s_second {"svc", "v2"};

class ArchivedStreams : public ::testing::Test {
protected:
    /// One life of a gateway with its keeper.
    struct Life {
        Life(ArchivedStreams& test, std::string name, bool is_watching = true, std::size_t gateways = 1)
            : keeper(
                {std::move(name), s_writes_per_second, [gateways] { return gateways; }, [&test] { return test.m_now; }},
                archive, test.m_store, log)
        {
            keeper.set_watching(is_watching);
        }

        Testing::NullDescriptor log_descriptor;
        Observe::MetricRegistry metrics;
        Observe::EventLog log {log_descriptor.number(), "gateway-1", Core::Incarnation(1), metrics};
        StreamArchive archive;
        StreamArchiveKeeper<FakeStore> keeper;
    };

    void step(Life& life, Core::Milliseconds time = 1s)
    {
        for (auto const end = m_now + time; m_now < end;)
            m_now += life.keeper.step();
    }

    /// The streams that a new life of a watching gateway reads.
    std::vector<ArchivedStream> read_by(std::string const& name)
    {
        Life life(*this, name);
        life.keeper.step();
        return life.archive.take_loaded();
    }

    [[nodiscard]] static bool has(std::vector<ArchivedStream> const& streams, ArchivedStream const& stream)
    {
        return std::ranges::find(streams, stream) != streams.end();
    }

    FakeStore m_store;
    Core::MonotonicTime m_now {1h};
};

}

TEST_F(ArchivedStreams, AreReadAfterAllGatewaysWereKilled)
{
    {
        Life first(*this, "g-1");
        Life second(*this, "g-2");
        first.archive.add_begun(StreamKey(1), s_first);
        second.archive.add_begun(StreamKey(~0ULL), s_second);
        step(first);
        step(second);
    }
    auto const streams = read_by("g-3");
    EXPECT_EQ(streams, (std::vector<ArchivedStream> {{StreamKey(1), s_first}, {StreamKey(~0ULL), s_second}}));
}

// Guards against a new life that replaces the object of the one before, and is killed as well.
TEST_F(ArchivedStreams, OfEarlierLivesAreKept)
{
    for (bool const is_watching : {true, false}) {
        for (std::uint64_t key = 1; key <= 3; ++key) {
            Life life(*this, "g-1", is_watching);
            life.archive.add_begun(StreamKey(key), s_first);
            step(life, 3s);
        }
        auto const streams = read_by("g-2");
        for (std::uint64_t key = 1; key <= 3; ++key)
            EXPECT_TRUE(has(streams, {StreamKey(key), s_first})) << key;
    }
}

TEST_F(ArchivedStreams, AreWrittenOnceTheStoreIsBack)
{
    Life life(*this, "g-1");
    m_store.is_unreachable = true;
    life.archive.add_begun(StreamKey(1), s_first);
    auto const first = life.keeper.step();
    EXPECT_GT(life.keeper.step(), first);
    m_store.is_unreachable = false;
    m_store.loses_answers = true;
    life.keeper.step();
    m_store.loses_answers = false;
    life.archive.add_begun(StreamKey(2), s_second);
    step(life, 3s);
    auto const streams = read_by("g-2");
    EXPECT_TRUE(has(streams, {StreamKey(1), s_first}));
    EXPECT_TRUE(has(streams, {StreamKey(2), s_second}));
}

TEST_F(ArchivedStreams, CostNoCallsWhileNoneBegin)
{
    Life life(*this, "g-1");
    step(life);
    auto const calls = m_store.calls;
    step(life, 60s);
    EXPECT_EQ(m_store.calls, calls);
}

TEST_F(ArchivedStreams, AreWrittenAtABoundedRateByTheFleet)
{
    constexpr std::size_t gateways = 300;
    constexpr auto time = 300s;
    Life life(*this, "g-1", false, gateways);
    for (std::uint64_t key = 1; m_now < Core::MonotonicTime(1h) + time; ++key) {
        life.archive.add_begun(StreamKey(key), s_first);
        m_now += life.keeper.step();
    }
    constexpr auto fleet_rate = s_writes_per_second * StreamArchiveKeeper<FakeStore>::s_share_of_writes;
    constexpr auto bound = static_cast<std::size_t>(fleet_rate * time.count() / gateways);
    EXPECT_LE(static_cast<std::size_t>(m_store.calls), bound + 1);
    EXPECT_GE(static_cast<std::size_t>(m_store.calls), bound / 2);
}

TEST_F(ArchivedStreams, OfGatewaysThatAreGoneAreRemoved)
{
    {
        Life gone(*this, "gone");
        gone.archive.add_begun(StreamKey(1), s_first);
        step(gone);
    }
    Life life(*this, "g-1");
    step(life);
    Life other(*this, "g-2");
    other.archive.add_begun(StreamKey(2), s_first);
    step(other);
    step(life, 150s);
    EXPECT_FALSE(m_store.has("gone"));
    EXPECT_TRUE(m_store.has("g-2"));
}

// Guards against a gateway that never writes again after another one has removed its object.
TEST_F(ArchivedStreams, AreWrittenAnewAfterTheObjectWasRemoved)
{
    Life life(*this, "g-1");
    life.archive.add_begun(StreamKey(1), s_first);
    step(life);
    m_store.remove("", "g-1");
    life.archive.add_begun(StreamKey(2), s_first);
    step(life, 5s);
    EXPECT_TRUE(has(read_by("g-2"), {StreamKey(2), s_first}));
}

TEST_F(ArchivedStreams, BesideAnObjectOfAnotherFormAreRead)
{
    for (auto const& spec : {Platform::Json(), Platform::Json(5), Platform::Json {{"batches", 5}},
             Platform::Json {{"batches", {{{"service", "svc"}, {"version", "v1"}, {"streams", "xyz,,12"}}}}}})
        m_store.put("odd", spec);
    Life life(*this, "g-1");
    life.archive.add_begun(StreamKey(1), s_first);
    step(life);
    EXPECT_TRUE(has(read_by("g-2"), {StreamKey(1), s_first}));
}

}
