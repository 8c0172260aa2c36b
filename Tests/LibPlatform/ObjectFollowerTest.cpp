// What a follower of the platform's store knows, whatever its watches hear.
//
// What users saw: requests refused by a configuration that had been replaced seconds before, at all gateways of a
// fleet, on days on which some gateways are cut from the store and the store forgets its history. Order of events:
// watches hear nothing for a second; a configuration is written in that second; the configuration's watches reach the
// end of their wait in it, are answered without an event and with the store's newest revision, and go on from there,
// beyond the change. Then the history is dropped: the servers' watches, which come from before, are told so and list;
// those of the configuration come from after it and are told nothing. They are cut without a word, which shows 3.8 s
// later, and after this one failure each of the watchers gives its place to the next in order, who are the ones that
// are cut off. Evidence: a play of that day on the code before: the change at 7.16 s, the servers' watches told at 8.45
// to 8.60 s, the configuration's lost at 11.06 to 11.13 s, the configuration listed by the first gateway at 12.60 s.
#include <LibHTTP/HttpClient.h>
#include <LibObserve/EventLog.h>
#include <LibPlatform/ObjectFollower.h>

#include <PlatformServer.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

namespace GraniteField::Platform {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr Core::Milliseconds s_watch_wait {150};
/// The promise to callers: a change holds this long after the store has taken it.
constexpr Core::Milliseconds s_promise {3'000};

bool wait_until(std::function<bool()> const& condition, Core::Milliseconds limit = s_promise)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(2ms);
    }
    return true;
}

/// Remembers which versions have come.
class FakeSink {
public:
    void take_listing(ObjectListing const& listing)
    {
        for (auto const& object : listing.objects)
            take(object);
    }
    void take_events(WatchAnswer const& answer)
    {
        for (auto const& event : answer.events)
            take(event.object);
    }
    void note_unavailable() { ++m_times_unavailable; }
    [[nodiscard]] std::optional<StoreRevision> revision_from_peers() const { return m_from_peers; }
    [[nodiscard]] std::optional<Core::Milliseconds> wanted_wait() const { return std::nullopt; }

    [[nodiscard]] bool has(int version) const
    {
        std::lock_guard const lock(m_mutex);
        return m_versions.contains(version);
    }
    [[nodiscard]] int times_unavailable() const { return m_times_unavailable; }
    void set_revision_from_peers(StoreRevision revision) { m_from_peers = revision; }

private:
    void take(Object const& object)
    {
        std::lock_guard const lock(m_mutex);
        m_versions.insert(object.spec.at("version").get<int>());
    }

    mutable std::mutex m_mutex;
    std::set<int> m_versions;
    std::atomic<int> m_times_unavailable {0};
    std::optional<StoreRevision> m_from_peers;
};

/// It is always this follower's turn.
struct EveryTurn {
    std::shared_ptr<std::atomic<bool>> is_stopped = std::make_shared<std::atomic<bool>>(false);
    std::shared_ptr<std::atomic<int>> times_asked = std::make_shared<std::atomic<int>>(0);
    std::shared_ptr<std::atomic<int>> answers = std::make_shared<std::atomic<int>>(0);

    [[nodiscard]] FollowerTurn wait_for_turn() const
    {
        ++*times_asked;
        return *is_stopped ? FollowerTurn::Stop : FollowerTurn::GoOn;
    }
    void note_call(Core::Milliseconds) const { }
    void note_answer() const { ++*answers; }
    void note_failure() const { }
    void stop() const { *is_stopped = true; }
};

class Follower : public ::testing::Test {
protected:
    Follower()
    {
        put(1);
        m_settings.store = *Core::Address::from_string("127.0.0.1:" + std::to_string(m_server.port()));
        m_settings.call_timeout = 300ms;
        m_settings.watch_wait = s_watch_wait;
        m_settings.pause_after_news = 0ms;
        m_settings.on_change = [this](bool is_reachable) { m_times_lost += is_reachable ? 0 : 1; };
    }
    ~Follower() override { ::close(m_nowhere); }

    void start()
    {
        m_follower.emplace(m_settings, "config", m_sink, m_turns, m_log, m_metrics);
        ASSERT_TRUE(wait_until([&] { return m_sink.has(1); }));
    }

    void control(Json const& json)
    {
        HTTP::ClientRequest request;
        request.method = "POST";
        request.url = "http://127.0.0.1:" + std::to_string(m_server.port()) + "/control";
        request.body = json.dump();
        static_cast<void>(m_client.send(request));
    }
    void put(int version)
    {
        control({{"puts", Json::array({{{"kind", "config"}, {"name", "main"}, {"spec", {{"version", version}}}}})}});
    }
    [[nodiscard]] std::uint64_t watches()
    {
        return m_metrics.counter("granitefield_store_calls_total", {{"call", "watch"}, {"kind", "config"}}).value();
    }

    int m_nowhere {::open("/dev/null", O_WRONLY | O_CLOEXEC)};
    StandIns::PlatformServer m_server {*Core::Address::from_string("127.0.0.1:0")};
    HTTP::HttpClient m_client;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_nowhere, "gateway-1", Core::Incarnation(1), m_metrics};
    FollowerSettings m_settings;
    FakeSink m_sink;
    EveryTurn m_turns;
    std::atomic<int> m_times_lost {0};
    std::optional<ObjectFollower<FakeSink, EveryTurn>> m_follower;
};

}

TEST_F(Follower, AWatchThatHeardNothingHidesNoChange)
{
    start();
    control({{"deaf-watches", true}});
    put(2);
    // Watches end without an event, each with a revision beyond the change.
    auto const before = watches();
    ASSERT_TRUE(wait_until([&] { return watches() >= before + 3; }));
    control({{"deaf-watches", false}});
    EXPECT_TRUE(wait_until([&] { return m_sink.has(2); }));
}

TEST_F(Follower, AHistoryThatIsGoneHidesNoChangeEither)
{
    start();
    control({{"deaf-watches", true}});
    put(2);
    auto const before = watches();
    ASSERT_TRUE(wait_until([&] { return watches() >= before + 3; }));
    control({{"deaf-watches", false}, {"forget-history", true}});
    EXPECT_TRUE(wait_until([&] { return m_sink.has(2); }));
}

TEST_F(Follower, GoesOnAfterAnObjectThatItsSinkCannotTake)
{
    start();
    auto const put_spec = [this](Json const& spec) {
        control({{"puts", {{{"kind", "config"}, {"name", "odd"}, {"spec", spec}}}}});
    };
    put_spec({{"version", "no number"}});
    auto& failures = m_metrics.counter("granitefield_unexpected_failures_total", {{"thread", "watch config"}});
    ASSERT_TRUE(wait_until([&] { return failures.value() > 0; }));
    put_spec({{"version", 2}});
    EXPECT_TRUE(wait_until([&] { return m_sink.has(2); }));
}

TEST_F(Follower, PausesBetweenListsWhileTheHistoryOfEachIsGone)
{
    m_settings.pause_after_news = 100ms;
    start();
    control({{"no-history", true}});
    auto& lists = m_metrics.counter("granitefield_store_calls_total", {{"call", "list"}, {"kind", "config"}});
    constexpr int count = 6;
    auto const before = lists.value();
    auto const begun = Core::monotonic_now();
    ASSERT_TRUE(wait_until([&] { return lists.value() >= before + count; }));
    // The first list follows at once.
    EXPECT_GE(Core::elapsed(begun, Core::monotonic_now()), (count - 2) * m_settings.pause_after_news);
}

TEST_F(Follower, OneCallThatFailsIsNoLostStore)
{
    start();
    // The watch that waits is left hanging; its time runs out, and what was missed is listed at once.
    control({{"hold-watches", true}});
    put(2);
    EXPECT_TRUE(wait_until([&] { return m_sink.has(2); }));
    EXPECT_EQ(m_times_lost, 0);
}

TEST_F(Follower, AStoreThatIsAwayIsLostAfterTheSecondCall)
{
    start();
    control({{"outage", "busy"}});
    EXPECT_TRUE(wait_until([&] { return m_times_lost == 1; }));
    EXPECT_GT(m_sink.times_unavailable(), 0);
    put(2);
    control({{"outage", ""}});
    EXPECT_TRUE(wait_until([&] { return m_sink.has(2); }));
    EXPECT_EQ(m_times_lost, 1);
}

// A gateway that watched until the elected ones had begun went on for the pause behind the news that had ended its
// call, so that three watched where two are to.
TEST_F(Follower, StopsWatchingOnceReplaced)
{
    m_settings.pause_after_news = 10 * s_promise;
    start();
    ASSERT_TRUE(wait_until([this] { return watches() == 1; }));
    auto const asked = m_turns.times_asked->load();
    put(2);
    ASSERT_TRUE(wait_until([this] { return m_sink.has(2); }));
    EXPECT_TRUE(wait_until([&] { return *m_turns.times_asked > asked; }));
    EXPECT_EQ(watches(), 1U);
}

// A gateway that had just been elected began with a watch from a peer's revision, whose answer came at the end of its
// wait. Until then nobody's watch was known to be sound, and others stepped in beside it.
TEST_F(Follower, ReportsHealthyAfterResumingFromPeerRevision)
{
    m_settings.watch_wait = 10 * s_promise;
    m_sink.set_revision_from_peers(ObjectClient(m_settings.store, m_settings.call_timeout).list("config").revision);
    m_follower.emplace(m_settings, "config", m_sink, m_turns, m_log, m_metrics);
    EXPECT_TRUE(wait_until([this] { return *m_turns.answers > 0; }));
}

}
