#include <LibCore/Utf8.h>
#include <LibPlatform/ObjectCodec.h>

#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <platform/Decoders.h>
#include <rapidcheck/gtest.h>

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

/// The configuration as a table, without what could not be read.
Table::Table table_of(Json const& spec)
{
    Core::Findings findings;
    return decode_configuration(spec, findings);
}

Core::MonotonicTime const s_now {std::chrono::hours(1)};

Json server_spec()
{
    return {{"service", "s-a"}, {"addr", "10.128.0.9:8080"}, {"zone", "z"}, {"slots", 64}, {"state", "ready"}};
}

}

TEST(DecodeConfiguration, BecomesATableOfTheSameVersion)
{
    auto const table = table_of(configuration());
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
    auto const table = table_of(configuration());
    EXPECT_EQ(table.find_route("one.example", "/a/b/c")->name, "r-2");
    EXPECT_EQ(table.find_route("one.example", "/a/bc")->name, "r-1");
    EXPECT_EQ(table.find_route("one.example", "/a"), nullptr);
    EXPECT_EQ(table.find_route("two.example", "/a/"), nullptr);
    EXPECT_EQ(table.find_route("one.example", "/a/b/")->key, Table::KeyNeed::Open);
    EXPECT_EQ(table.find_route("one.example", "/a/b/")->repetition, Table::Repetition::Allowed);
}

TEST(DecodeConfiguration, EveryKeyOfAWorkspaceIsKnown)
{
    auto const table = table_of(configuration());
    EXPECT_EQ(table.workspaces().size(), 1U);
    EXPECT_EQ(table.workspaces().begin()->second.key_hashes.size(), 2U);
    EXPECT_EQ(table.workspaces().begin()->second.tier, 2U);
}

TEST(DecodeConfiguration, WithoutWorkspacesNoKeyIsNeeded)
{
    auto json = configuration();
    json.erase("tenants");
    EXPECT_EQ(table_of(json).find_route("one.example", "/a/")->key, Table::KeyNeed::Open);
}

TEST(DecodeConfiguration, AnotherFormIsRefused)
{
    EXPECT_THROW(static_cast<void>(table_of(Json::object())), Core::InvalidInput);
}

// The configuration says where a route leads. A service without a row of its own is no reason to keep an older one.
TEST(DecodeConfiguration, ARouteLeadsToAServiceWithoutARow)
{
    auto json = configuration();
    json["routes"][0]["service"] = "s-c";
    json["routes"][0].erase("backends");
    auto const table = table_of(json);
    auto const* const route = table.find_route("one.example", "/a/x");
    ASSERT_NE(route, nullptr);
    EXPECT_TRUE(route->unreadable.empty());
    EXPECT_EQ(route->targets, (std::vector<Table::RouteTarget> {{"s-c", 1}}));
}

TEST(DecodeServer, ReadsItsEntry)
{
    Object const object {"i-1", ObjectVersion(3),
        Json::parse(R"({"service": "s-a", "addr": "10.128.0.9:8080", "zone": "z", "slots": 64, "state": "draining"})")};
    auto const server = decode_server(object, s_now);
    EXPECT_EQ(server.instance, "i-1");
    EXPECT_EQ(server.address.to_string(), "10.128.0.9:8080");
    EXPECT_EQ(server.slots, 64U);
    EXPECT_EQ(server.state, Table::BackendServerState::Leaving);
    EXPECT_EQ(server.born, BirthTime());
    EXPECT_THROW(static_cast<void>(decode_server({"i-2", {}, Json {{"addr", "nowhere"}}}, s_now)), Core::InvalidInput);
}

TEST(DecodeServer, KnowsHowLongItIsCold)
{
    auto spec = server_spec();
    EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).cold_until, Core::MonotonicTime());
    spec["cold_left_ms"] = 2'500;
    EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).cold_until, s_now + Core::Milliseconds(2'500));
    for (auto const& odd : {Json("soon"), Json(-1), Json::array()}) {
        spec["cold_left_ms"] = odd;
        EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).cold_until, Core::MonotonicTime());
    }
}

TEST(DecodeConfiguration, KnowsRegionsAndWhatColdServersBear)
{
    auto json = configuration();
    json["routes"][0]["allowed_regions"] = {"north", "south"};
    json["routes"][1]["allowed_regions"] = Json::array();
    json["tenants"][0]["allowed_regions"] = {"north"};
    json["services"][0]["cold_s"] = 3.5;
    json["services"][0]["cold_per_s"] = 5.9;
    auto const table = table_of(json);
    EXPECT_EQ(table.routes().at("r-1").regions, (std::vector<std::string> {"north", "south"}));
    // Allowed nowhere is not allowed anywhere.
    EXPECT_FALSE(table.routes().at("r-2").regions.empty());
    EXPECT_EQ(table.workspaces().at("t-1").regions, std::vector<std::string> {"north"});
    EXPECT_EQ(table.find_service("s-a")->cold_time, Core::Milliseconds(3'500));
    EXPECT_EQ(table.find_service("s-a")->cold_rate, 354U);
    EXPECT_EQ(table.find_service("s-b")->cold_rate, 0U);
}

TEST(DecodeServer, KnowsTheLivesOfOneNameByTheirBirth)
{
    auto spec = server_spec();
    spec["born"] = 1'781'704'505'269;
    auto const first = decode_server({"i-1", {}, spec}, s_now);
    spec["born"] = 1'781'704'509'000;
    auto const second = decode_server({"i-1", {}, spec}, s_now);
    EXPECT_TRUE(first.is_of_earlier_life_than(second));
    EXPECT_FALSE(second.is_of_earlier_life_than(first));
}

TEST(DecodeServer, TakesTheSoftwareVersionOrNone)
{
    auto spec = server_spec();
    spec["version"] = "v1.2";
    EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).software_version, "v1.2");
    for (auto const& odd : {Json(), Json(3), Json::array({"v1"})}) {
        spec["version"] = odd;
        EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).software_version, "");
    }
    spec.erase("version");
    EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).software_version, "");
}

// Another writer may put anything there. It names no server, and spoils no other.
TEST(DecodeServer, RefusesWhatIsNoServersEntry)
{
    for (auto const* field : {"service", "addr", "zone", "slots", "state"}) {
        auto spec = server_spec();
        spec.erase(field);
        EXPECT_ANY_THROW(static_cast<void>(decode_server({"i-1", {}, spec}, s_now))) << field;
        spec[field] = Json::array({1, 2});
        EXPECT_ANY_THROW(static_cast<void>(decode_server({"i-1", {}, spec}, s_now))) << field;
    }
    for (auto const& [field, value] : std::map<std::string, Json> {{"state", "asleep"}, {"service", ""}, {"slots", 1.5},
             {"slots", "64"}, {"born", 1.5}, {"born", "yesterday"}, {"addr", "10.128.0.9"}}) {
        auto spec = server_spec();
        spec[field] = value;
        EXPECT_ANY_THROW(static_cast<void>(decode_server({"i-1", {}, spec}, s_now))) << field;
    }
    for (auto const& spec : {Json(), Json(3), Json("text"), Json::array()})
        EXPECT_ANY_THROW(static_cast<void>(decode_server({"i-1", {}, spec}, s_now)));
}

TEST(DecodeList, WhatCanNotBeReadSpoilsNoOther)
{
    auto const page = decode_list(R"({"store_revision": 9, "truncated": true, "items": [
        {"metadata": {"name": "a", "rev": 1}, "spec": {}}, 17, {"metadata": {"name": "b", "rev": "x"}},
        {"metadata": 5}, {"metadata": {"name": 6}}, {"metadata": {"name": "c", "rev": 2}, "spec": "text"},
        {"metadata": {"name": "d", "rev": {}}}]})");
    ASSERT_EQ(page.listing.objects.size(), 2U);
    EXPECT_EQ(page.listing.objects[0].name, "a");
    EXPECT_EQ(page.listing.objects[1].name, "c");
    EXPECT_EQ(page.listing.unreadable.size(), 5U);
    // The next page begins behind the last name, also where that one can't be read.
    EXPECT_EQ(page.listing.last_name, "d");
}

TEST(DecodeList, AnUnreadableSpecSpoilsNoOther)
{
    auto const deep = std::string(200'000, '[') + std::string(200'000, ']');
    auto const item = [](std::string const& name, std::string const& spec) {
        return R"({"metadata":{"name":")" + name + R"(","rev":7,"finalizers":[[1e400]]},"spec":)" + spec
            + R"(,"status":[1e400]})";
    };
    auto const sound = server_spec().dump();
    auto const page
        = decode_list(R"({"store_revision":9,"items":[)" + item("a", "{\"x\":" + deep + "}") + "," + item("b", sound)
            + "," + item("c", R"({"x":1e400})") + "," + item("d", R"({"x":"\ud800"})") + "," + item("e", sound) + "]}");
    ASSERT_EQ(page.listing.objects.size(), 5U);
    for (auto const& object : page.listing.objects) {
        bool const is_sound = object.name == "b" || object.name == "e";
        EXPECT_EQ(object.problem.empty(), is_sound) << object.name;
        EXPECT_EQ(object.version, ObjectVersion(7));
        if (is_sound)
            EXPECT_EQ(decode_server(object, s_now).instance, object.name);
        else
            EXPECT_THROW(static_cast<void>(decode_server(object, s_now)), Core::InvalidInput) << object.name;
    }
}

TEST(DecodeList, ParsesOnlyWhatPassesTheFilter)
{
    auto const text = Json {{"store_revision", 9},
        {"items",
            {{{"metadata", {{"name", "a"}}}, {"spec", std::string(1'000, 'x')}},
                {{"metadata", {{"name", "b"}}}, {"spec", 1}}}}}
                          .dump();
    auto const with_status = R"({"store_revision":9,"items":[{"metadata":{"name":"a"},"spec":1,"status":")"
        + std::string(1'000, 'x') + "\"}]}";
    EXPECT_EQ(decode_list(with_status, {500, {}}).listing.objects.size(), 1U);
    auto const small = decode_list(text, {500, {}});
    ASSERT_EQ(small.listing.objects.size(), 1U);
    EXPECT_EQ(small.listing.objects[0].name, "b");
    ASSERT_EQ(small.listing.unreadable.size(), 1U);
    EXPECT_EQ(small.listing.unreadable[0].name, "a");
    auto const named = decode_list(text, {.name = "a"});
    ASSERT_EQ(named.listing.objects.size(), 2U);
    EXPECT_TRUE(named.listing.objects[0].spec.is_string());
    EXPECT_TRUE(named.listing.objects[1].spec.is_null());
    EXPECT_EQ(named.listing.last_name, "b");
}

TEST(DecodeWatch, KeepsTheOrderOfChangesThatCanAndCanNotBeRead)
{
    auto const event = [](char const* object) { return std::string(R"({"tombstone":false,"object":)") + object + "}"; };
    auto const answer
        = decode_watch(R"({"store_revision":9,"events":[)" + event(R"({"metadata":{"name":"a","rev":"x"},"spec":1})")
            + "," + event(R"({"metadata":{"name":"a","rev":8}})") + "," + event("17") + "]}");
    ASSERT_EQ(answer.events.size(), 3U);
    EXPECT_EQ(answer.events[0].object.name, "a");
    EXPECT_FALSE(answer.events[0].object.problem.empty());
    EXPECT_EQ(answer.events[1].object.name, "a");
    EXPECT_TRUE(answer.events[1].object.problem.empty());
    EXPECT_EQ(answer.events[2].object.name, "");
}

TEST(ObjectPaths, LeadToNoOtherObjectWhateverItsName)
{
    EXPECT_EQ(object_path("kind", "i-1.a_b~c"), "/objects/kind/i-1.a_b~c");
    EXPECT_EQ(object_path("kind", "../config/main"), "/objects/kind/..%2Fconfig%2Fmain");
    EXPECT_EQ(object_path("kind", "a b?c#\xff"), "/objects/kind/a%20b%3Fc%23%FF");
    EXPECT_EQ(list_path("kind", "a&b=c"), "/objects/kind?after_rev=a%26b%3Dc");
}

TEST(DecodeServer, LimitsAColdTimeBeyondAnyNumber)
{
    auto spec = server_spec();
    spec["cold_left_ms"] = 1e300;
    EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).cold_until, s_now + std::chrono::minutes(10));
    spec["cold_left_ms"] = -1e300;
    EXPECT_EQ(decode_server({"i-1", {}, spec}, s_now).cold_until, Core::MonotonicTime());
}

// Any bytes in place of an entry: nothing but an exception comes of it, and the others are read.
RC_GTEST_PROP(DecodeList, AnyObjectAmongOthersSpoilsNone, (std::vector<std::string> const& texts))
{
    auto items = Json::array();
    for (auto const& text : texts) {
        auto const bytes = Core::replace_invalid_utf8(text);
        auto const parsed = Json::parse(bytes, nullptr, false);
        items.push_back(parsed.is_discarded() ? Json(bytes) : parsed);
        auto spec = server_spec();
        spec[bytes] = bytes;
        spec["zone"] = items.back();
        items.push_back({{"metadata", {{"name", "odd"}, {"rev", 1}}}, {"spec", spec}});
    }
    items.push_back({{"metadata", {{"name", "sound"}, {"rev", 1}}}, {"spec", server_spec()}});
    auto const page = decode_list(Json {{"store_revision", 1}, {"items", items}}.dump());
    std::size_t servers = 0;
    for (auto const& object : page.listing.objects) {
        try {
            servers += decode_server(object, s_now).instance == "sound" ? 1 : 0;
        } catch (std::exception const&) {
            RC_ASSERT(object.name != "sound");
        }
    }
    RC_ASSERT(servers == 1U);
}

TEST(Utf8, ReplacesOnlyWhatIsNoCharacter)
{
    EXPECT_EQ(Core::replace_invalid_utf8("ž € 𝄞"), "ž € 𝄞");
    EXPECT_EQ(Core::replace_invalid_utf8("a\xff\xc5z\xe2\x82"), "a??z??");
    // An overlong form, a surrogate, and a code point behind the last.
    EXPECT_EQ(Core::replace_invalid_utf8("\xc0\x80"), "??");
    EXPECT_EQ(Core::replace_invalid_utf8("\xed\xa0\x80"), "???");
    EXPECT_EQ(Core::replace_invalid_utf8("\xf4\x90\x80\x80"), "????");
}

TEST(PlatformDialect, NamesEveryFieldThatOnlyAGatewayMaySet)
{
    auto const dialect = platform_dialect();
    std::set<std::string> names(dialect.engine_control_fields.begin(), dialect.engine_control_fields.end());
    names.insert({dialect.priority, dialect.expected_instance, dialect.workspace, dialect.remaining_time});
    for (auto const* name : {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Expect-Version",
             "X-Request-Priority", "X-Expect-Instance", "X-Tenant", "X-Deadline-Ms"})
        EXPECT_TRUE(names.contains(name)) << name;
}

}
