// A gateway as a process of its own, with the platform's store and its troubles.
#include "Fleet.h"
#include "Process.h"

#include "FakeBackend.h"
#include "FaultProxy.h"
#include "GatewayFleet.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibPlatform/ObjectFollower.h>

#include <algorithm>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

/// What is promised while the store is there.
constexpr Core::Milliseconds s_in_force_limit {2'000};

class GatewayProcess : public ::testing::Test, protected GatewayFleet {
protected:
    static std::uint64_t version_at(Gateway const& gateway)
    {
        return send_request(gateway.operators, "GET", "/status", "").json()["table-version"].get<std::uint64_t>();
    }
    static std::size_t count_servers(Gateway const& gateway)
    {
        return send_request(gateway.operators, "GET", "/status", "").json()["backend-servers"].size();
    }
};

}

TEST_F(GatewayProcess, IsReadyOnceItKnowsTableAndServers)
{
    FakeBackend const backend("i-1", good());
    auto const gateway = start("g-1");
    EXPECT_FALSE(is_ready(gateway));
    EXPECT_EQ(ask(gateway, "/a/"), 503);
    put_configuration(1, "/a/");
    put_server(backend);
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    EXPECT_EQ(ask(gateway, "/a/"), 200);
    EXPECT_EQ(ask(gateway, "/b/"), 404);
}

TEST_F(GatewayProcess, TakesANewConfigurationWithinSecondsAndNeverAnOlderOne)
{
    FakeBackend const backend("i-1", good());
    put_configuration(5, "/a/");
    put_server(backend);
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    put_configuration(7, "/b/");
    EXPECT_TRUE(wait_until([&] { return ask(gateway, "/b/") == 200; }, s_in_force_limit));
    EXPECT_EQ(ask(gateway, "/a/"), 404);
    // An older one under a newer revision, then a newer one: only the latter is taken.
    put_configuration(6, "/c/");
    put_configuration(8, "/d/");
    EXPECT_TRUE(wait_until([&] { return ask(gateway, "/d/") == 200; }, s_in_force_limit));
    EXPECT_EQ(version_at(gateway), 8U);
}

TEST_F(GatewayProcess, ListsAgainWhenTheHistoryIsGoneOrTheWatchHangs)
{
    FakeBackend const backend("i-1", good());
    put_configuration(1, "/a/");
    put_server(backend);
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    control({{"hold-watches", true}});
    put_configuration(2, "/b/");
    control({{"forget-history", true}, {"hold-watches", false}});
    EXPECT_TRUE(wait_until([&] { return ask(gateway, "/b/") == 200; }, s_in_force_limit));
    // Watches hear nothing and are not cut either.
    control({{"hold-watches", true}});
    put_configuration(3, "/c/");
    EXPECT_TRUE(wait_until([&] { return ask(gateway, "/c/") == 200; }, s_in_force_limit));
}

TEST_F(GatewayProcess, NoticesAHangingWatchWhileTheOthersHaveLostTheStore)
{
    FakeBackend const backend("i-1", good());
    put_configuration(1, "/a/");
    put_server(backend);
    // Those that come first in the order of hashes watch for others where watching is shared; they lose the store.
    std::vector<std::string> names {"g-1", "g-2", "g-3"};
    std::ranges::sort(names, {}, [](auto const& name) { return Core::hash_bytes(name); });
    auto const store = *Core::Address::from_string(Core::concat("127.0.0.1:", platform_port()));
    FaultProxy first_way(store);
    FaultProxy second_way(store);
    auto const first = start(names[0], Json::array(), first_way.port());
    auto const seeds = Json::array({Core::concat("127.0.0.1:", first.peers)});
    auto const second = start(names[1], seeds, second_way.port());
    auto const third = start(names[2], seeds);
    std::string const watches = R"(granitefield_store_calls_total{call="watch",kind="config"})";
    ASSERT_TRUE(wait_until([&] { return is_ready(first) && is_ready(second) && is_ready(third); }));
    ASSERT_TRUE(wait_until([&] { return metric(third, "granitefield_peers") == 2; }));
    auto const before = metric(third, watches);
    ASSERT_TRUE(wait_until([&] { return metric(third, watches) > before; }));
    first_way.set_mode(FaultProxy::Mode::Freeze);
    second_way.set_mode(FaultProxy::Mode::Freeze);
    control({{"hold-watches", true}});
    put_configuration(2, "/b/");
    EXPECT_TRUE(wait_until([&] { return ask(third, "/b/") == 200; }, s_in_force_limit));
}

TEST_F(GatewayProcess, TakesChangesInARowWithFewCalls)
{
    FakeBackend const backend("i-1", good());
    put_configuration(1, "/a/");
    put_server(backend);
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    auto const watches
        = [&gateway] { return metric(gateway, R"(granitefield_store_calls_total{call="watch",kind="servers"})"); };
    auto const before = watches();
    auto const begun = Core::monotonic_now();
    constexpr unsigned count = 60;
    for (unsigned number = 0; number < count; ++number) {
        auto entry = backend.entry();
        entry.instance = Core::concat("i-more-", number);
        put_server(entry);
    }
    ASSERT_TRUE(wait_until([&] { return count_servers(gateway) == count + 1; }));
    // One watch is under way at the beginning, and each pause is followed by one more.
    auto const pauses = Core::elapsed(begun, Core::monotonic_now()) / Platform::FollowerSettings().pause_after_news;
    EXPECT_LE(watches() - before, static_cast<std::uint64_t>(pauses) + 2);
}

TEST_F(GatewayProcess, ReadsListsInPages)
{
    control({{"page-size", 2}});
    std::vector<std::unique_ptr<FakeBackend>> backends;
    put_configuration(1, "/a/");
    for (int number = 0; number < 5; ++number) {
        backends.push_back(std::make_unique<FakeBackend>("i-" + std::to_string(number), good()));
        put_server(*backends.back());
    }
    auto const gateway = start("g-1");
    EXPECT_TRUE(wait_until([&] { return count_servers(gateway) == 5; }));
}

TEST_F(GatewayProcess, GoesOnWithALongListWhereTheStoreRefusedAPage)
{
    FakeBackend const backend("i-1", good());
    put_configuration(1, "/a/");
    constexpr unsigned count = 60;
    for (unsigned number = 0; number < count; ++number) {
        auto entry = backend.entry();
        entry.instance = Core::concat("i-", number);
        put_server(entry);
    }
    // Fewer calls in a second than the list has pages; refused ones count as well.
    control({{"page-size", 1}, {"reads-per-second", count / 3}});
    auto const knows_all = [](Gateway const& gateway) { return count_servers(gateway) == count; };
    auto const first = start("g-1");
    ASSERT_TRUE(wait_until([&] { return knows_all(first); }));
    // The next one has the list from its peer, and reads no more pages than it needs to hear of that.
    auto const second = start("g-2", Json::array({Core::concat("127.0.0.1:", first.peers)}));
    ASSERT_TRUE(wait_until([&] { return knows_all(second); }));
    EXPECT_LT(metric(second, R"(granitefield_store_calls_total{call="list",kind="servers"})"), count / 2);
    // What changes afterwards reaches it from the store.
    control({{"reads-per-second", 0}});
    remove_server("i-7");
    EXPECT_TRUE(wait_until([&] { return count_servers(second) == count - 1; }));
}

class StoreOutages : public GatewayProcess, public ::testing::WithParamInterface<char const*> { };

TEST_P(StoreOutages, AreServedThroughFromWhatIsKnown)
{
    FakeBackend const backend("i-1", good());
    FakeBackend const lapsed("i-2", good());
    put_configuration(1, "/a/");
    put_server(backend);
    put_server(lapsed);
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    control({{"outage", GetParam()}});
    ASSERT_TRUE(wait_until([&] {
        return send_request(gateway.operators, "GET", "/metrics", "")
                   .body.find("granitefield_store_failures_total{kind=\"servers\"}")
            != std::string::npos;
    }));
    // Both entries lapse while the store is away; one of the servers comes back after its return.
    remove_server("i-1");
    remove_server("i-2");
    EXPECT_EQ(ask(gateway, "/a/"), 200);
    control({{"outage", ""}});
    put_configuration(2, "/b/");
    ASSERT_TRUE(wait_until([&] { return ask(gateway, "/b/") == 200; }, s_in_force_limit));
    put_server(backend);
    EXPECT_TRUE(wait_until([&] {
        auto const servers = send_request(gateway.operators, "GET", "/status", "").json()["backend-servers"];
        return servers.size() == 1 && servers[0]["backend-server"] == "i-1";
    }));
    EXPECT_TRUE(is_ready(gateway));
}

INSTANTIATE_TEST_SUITE_P(Kinds, StoreOutages, ::testing::Values("busy", "many", "reset", "silent"));

TEST_F(GatewayProcess, OneThatTheStoreTurnsAwayLearnsFromItsPeers)
{
    FakeBackend const backend("i-1", good());
    FakeBackend const second("i-2", good());
    put_configuration(1, "/a/");
    put_server(backend);
    auto const first = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(first); }));
    // The second one's store is a port where nobody listens.
    auto const lonely = start("g-2", Json::array({Core::concat("127.0.0.1:", first.peers)}), 1);
    ASSERT_TRUE(wait_until([&] { return is_ready(lonely); }));
    put_configuration(2, "/b/");
    EXPECT_TRUE(wait_until([&] { return ask(lonely, "/b/") == 200; }, s_in_force_limit));
    put_server(second);
    put_server(backend, "draining");
    EXPECT_TRUE(wait_until(
        [&] {
            auto const before = second.count();
            return ask(lonely, "/b/") == 200 && second.count() == before + 1;
        },
        s_in_force_limit));
    // What a peer told is no word of the store's own, however often the store is tried afterwards.
    auto const failures = [&lonely] { return metric(lonely, R"(granitefield_store_failures_total{kind="servers"})"); };
    auto const before = failures();
    ASSERT_TRUE(wait_until([&] { return failures() > before + 3; }));
    // The log gathers lines for a moment before it writes them.
    EXPECT_TRUE(wait_until([&] { return lonely.process->has_printed(R"("event":"store-lost")"); }));
    EXPECT_FALSE(lonely.process->has_printed(R"("event":"store-regained")"));
}

TEST_F(GatewayProcess, ShowsWhatItKnowsToOperators)
{
    FakeBackend const backend("i-1", good());
    put_configuration(3, "/a/");
    put_server(backend);
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    auto const daemon = Core::concat("127.0.0.1:", gateway.operators);
    auto const tool = program_path("Utilities/granitefield");
    auto const status = run_program(tool, {"--daemon", daemon, "status"});
    EXPECT_EQ(status.exit_code, 0);
    EXPECT_NE(status.output.find("gateway, ready, table version 3"), std::string::npos) << status.output;
    EXPECT_NE(status.output.find("i-1"), std::string::npos);
    auto const routes = run_program(tool, {"--daemon", daemon, "table", "show", "routes"});
    EXPECT_EQ(routes.exit_code, 0);
    EXPECT_NE(routes.output.find("table version 3"), std::string::npos) << routes.output;
    EXPECT_NE(routes.output.find("host.test"), std::string::npos);
}

TEST(Logs, OfSeveralGatewaysAreJoinedInOrder)
{
    auto const line = [](int time, char const* host, char const* request, char const* event) {
        return Json {{"time", time}, {"host", host}, {"incarnation", "0"}, {"event", event}, {"request", request},
                   {"status", 200}}
                   .dump()
            + "\n";
    };
    auto const input = line(30, "g-2", "r-1", "request-end") + "12.0 g-1 " + line(10, "g-1", "r-1", "dispatch")
        + "no JSON about r-1\n" + line(20, "g-1", "r-2", "dispatch");
    auto const tool = program_path("Utilities/granitefield");
    auto const joined = run_program(tool, {"logs", "r-1"}, input);
    EXPECT_EQ(joined.exit_code, 0);
    auto const first = joined.output.find("dispatch");
    auto const second = joined.output.find("request-end");
    EXPECT_LT(first, second);
    EXPECT_NE(joined.output.find("+20"), std::string::npos) << joined.output;
    EXPECT_EQ(joined.output.find("r-2"), std::string::npos);
    EXPECT_EQ(run_program(tool, {"logs", "r-3"}, input).exit_code, 1);
    EXPECT_EQ(run_program(tool, {"logs"}, input).exit_code, 2);
}

TEST_F(GatewayProcess, TakesOverNewSettingsWithAndWithoutASignal)
{
    put_configuration(1, "/a/");
    auto const gateway = start("g-1");
    auto const path = directory() / "g-1.json";
    auto const rejected = [&] { return gateway.process->has_printed(R"("event":"reload","outcome":"rejected")"); };
    // A file that can't be read changes nothing, and says so.
    std::ofstream(path) << "{";
    gateway.process->hang_up();
    EXPECT_TRUE(wait_until(rejected));
    Json const settings = settings_of("g-1");
    std::ofstream(path) << settings.dump();
    EXPECT_TRUE(wait_until([&] { return gateway.process->has_printed(R"("event":"reload","outcome":"done")"); }));
}

TEST_F(GatewayProcess, StopsAsPlannedAndReadsItsSettingsAgain)
{
    std::promise<void> may_answer;
    FakeBackend const backend("i-1", [&](auto& connection, auto const& text, auto index) {
        if (index == 0)
            may_answer.get_future().wait();
        good()(connection, text, index);
    });
    put_configuration(1, "/a/");
    put_server(backend);
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    gateway.process->hang_up();
    RawCaller caller(gateway.callers);
    caller.write("GET /a/ HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: r-1\r\n\r\n");
    ASSERT_TRUE(wait_until([&] { return backend.count() == 1; }));
    gateway.process->terminate();
    ASSERT_TRUE(wait_until([&] { return !is_ready(gateway); }));
    may_answer.set_value();
    auto const answer = caller.read_answer();
    EXPECT_EQ(answer.body, "fine");
    EXPECT_EQ(field_of(answer.head, "Connection"), "close");
    EXPECT_EQ(gateway.process->wait(), 0);
}

}
