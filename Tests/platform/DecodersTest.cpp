#include <LibPlatform/ObjectCodec.h>

#include <set>
#include <string>

#include <gtest/gtest.h>
#include <platform/Decoders.h>

namespace GraniteField::Platform {

namespace {

Json configuration()
{
    return Json::parse(R"({"version": 7,
        "routes": [
            {"name": "r-1", "host": "One.example", "path_prefix": "/a/", "kind": "stream", "timeout_ms": 12000,
             "latency_slo_ms": 2500, "prio": 2, "backends": [{"service": "s-a", "weight": 90}, {"service": "s-b", "weight": 10}],
             "attempts": 2, "no_auth": false, "sticky": true, "resumable": true, "gap_aim_ms": 1200, "new_field": 1},
            {"name": "r-2", "host": "one.example", "path_prefix": "/a/b/", "kind": "safe", "timeout_ms": 800,
             "latency_slo_ms": 150, "prio": 0, "service": "s-b", "attempts": 1, "no_auth": true}],
        "services": [{"name": "s-a", "max_conns": 360, "engine": {"kv_tokens": 521945}}, {"name": "s-b", "max_conns": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t-1", "api_keys": ["k-1", "k-2"], "prio": 1}, {"name": "t-2", "api_keys": []}]})");
}

}

TEST(DecodeConfiguration, BecomesATableOfTheSameVersion)
{
    auto const table = decode_configuration(configuration());
    EXPECT_EQ(table.version(), Core::TableVersion(7));
    auto const* route = table.find_route("one.example", "/a/x");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->name, "r-1");
    EXPECT_EQ(route->answer, Table::AnswerKind::EventStream);
    EXPECT_EQ(route->continuation, Table::Continuation::Yes);
    EXPECT_EQ(route->repetition, Table::Repetition::Never);
    EXPECT_EQ(route->key, Table::KeyNeed::Required);
    EXPECT_EQ(route->tries, 2U);
    EXPECT_EQ(route->time_limit, Core::Milliseconds(12'000));
    ASSERT_EQ(route->targets.size(), 2U);
    EXPECT_EQ(route->targets[0].weight, 90U);
    auto const* request_class = table.find_class(route->request_class);
    EXPECT_EQ(request_class->tier, 3U);
    EXPECT_EQ(request_class->first_token_target, Core::Milliseconds(2'500));
    EXPECT_EQ(table.find_service("s-a")->memory_tokens, 521'945U);
    EXPECT_EQ(table.caller_limits().idle_time, Core::Milliseconds(15'000));
}

TEST(DecodeConfiguration, TheLongestPrefixWins)
{
    auto const table = decode_configuration(configuration());
    EXPECT_EQ(table.find_route("one.example", "/a/b/c")->name, "r-2");
    EXPECT_EQ(table.find_route("one.example", "/a/bc")->name, "r-1");
    EXPECT_EQ(table.find_route("one.example", "/a"), nullptr);
    EXPECT_EQ(table.find_route("two.example", "/a/"), nullptr);
    EXPECT_EQ(table.find_route("one.example", "/a/b/")->key, Table::KeyNeed::Open);
    EXPECT_EQ(table.find_route("one.example", "/a/b/")->repetition, Table::Repetition::Allowed);
}

TEST(DecodeConfiguration, EveryKeyOfAWorkspaceIsKnown)
{
    auto const table = decode_configuration(configuration());
    EXPECT_EQ(table.workspaces().size(), 1U);
    EXPECT_EQ(table.workspaces().begin()->second.key_hashes.size(), 2U);
    EXPECT_EQ(table.workspaces().begin()->second.tier, 2U);
}

TEST(DecodeConfiguration, WithoutWorkspacesNoKeyIsNeeded)
{
    auto json = configuration();
    json.erase("tenants");
    EXPECT_EQ(decode_configuration(json).find_route("one.example", "/a/")->key, Table::KeyNeed::Open);
}

TEST(DecodeConfiguration, AnotherFormIsRefused)
{
    EXPECT_THROW(static_cast<void>(decode_configuration(Json::object())), Json::exception);
    auto json = configuration();
    json["routes"][0]["service"] = "s-c";
    json["routes"][0].erase("backends");
    EXPECT_THROW(static_cast<void>(decode_configuration(json)), Core::InvalidInput);
}

TEST(DecodeServer, ReadsItsEntry)
{
    Object const object {"i-1", ObjectVersion(3),
        Json::parse(R"({"service": "s-a", "addr": "10.128.0.9:8080", "zone": "z", "slots": 64, "state": "draining"})")};
    auto const server = decode_server(object);
    EXPECT_EQ(server.instance, "i-1");
    EXPECT_EQ(server.address.to_string(), "10.128.0.9:8080");
    EXPECT_EQ(server.slots, 64U);
    EXPECT_EQ(server.state, Table::BackendServerState::Leaving);
    EXPECT_THROW(static_cast<void>(decode_server({"i-2", {}, Json {{"addr", "nowhere"}}})), Core::InvalidInput);
}

TEST(PlatformDialect, NamesEveryFieldThatOnlyAGatewayMaySet)
{
    auto const dialect = platform_dialect();
    std::set<std::string> names(dialect.engine_orders.begin(), dialect.engine_orders.end());
    names.insert({dialect.priority, dialect.expected_instance, dialect.workspace, dialect.remaining_time});
    for (auto const* name : {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Expect-Version",
             "X-Request-Priority", "X-Expect-Instance", "X-Tenant", "X-Deadline-Ms"})
        EXPECT_TRUE(names.contains(name)) << name;
}

}
