// A configuration that the store has accepted holds at every gateway, whatever stands in it.
//
// What users saw: a key that was taken away went on working for good, and keys that were added in the same version got
// 401. One workspace had come to more than 64 keys, a limit of the table; the gateway rejected the version whole, and
// each later one.
#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibEntry/PeerMessages.h>
#include <LibEntry/TableHistory.h>
#include <LibTable/TablePages.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <platform/Decoders.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Platform {

using Json = nlohmann::json;

namespace {

Json sound_route()
{
    return {{"name", "sound"}, {"host", "sound.example"}, {"path_prefix", "/sound/"}, {"kind", "safe"},
        {"timeout_ms", 1'200}, {"latency_slo_ms", 150}, {"prio", 1}, {"service", "svc"}, {"attempts", 2}};
}

Json sound_workspace()
{
    return {{"name", "sound"}, {"api_keys", {"key-of-sound"}}};
}

Json configuration()
{
    return {{"version", 7}, {"services", {{{"name", "svc"}}}}, {"routes", {sound_route()}},
        {"tenants", {sound_workspace()}}};
}

struct Decoded {
    Table::Table table;
    Core::Findings findings;
};

Decoded decode(Json const& spec)
{
    Decoded decoded;
    decoded.table = decode_configuration(spec, decoded.findings);
    return decoded;
}

/// The table of a gateway that receives this one whole from a peer.
Table::Table as_received_by_peer(Table::Table const& table)
{
    auto const update = Entry::to_message({}, table.version(), Table::difference(Table::Table(), table));
    return Entry::apply(update, Entry::read_edits(update), nullptr).value_or(Table::Table());
}

/// The table of a gateway that receives the edits between both from a peer.
Table::Table as_received_by_peer(Table::Table const& from, Table::Table const& to)
{
    auto const update = Entry::to_message(from.version(), to.version(), Table::difference(from, to));
    auto const current = std::make_shared<Table::Table const>(from);
    return Entry::apply(update, Entry::read_edits(update), current).value_or(Table::Table());
}

/// Expects that the configuration holds whole, here and at peers.
Table::Table expect_held(Json const& spec)
{
    auto const decoded = decode(spec);
    EXPECT_TRUE(decoded.findings.is_empty()) << decoded.findings.to_string();
    EXPECT_EQ(as_received_by_peer(decoded.table), decoded.table);
    EXPECT_EQ(Table::decode_table(Table::encode_table(decoded.table)), decoded.table);
    return decoded.table;
}

Table::Workspace const* workspace_of(Table::Table const& table, std::string const& key)
{
    return table.find_workspace_by_key_hash(Core::sha256(key));
}

std::string const s_long_text(300, 'x');

}

// Guards against the version that was rejected for its 69 keys, so that a key taken away stayed good.
TEST(AcceptedConfiguration, HoldsWithMoreKeysThanOperatorsMayEnter)
{
    auto spec = configuration();
    auto& keys = spec["tenants"][0]["api_keys"];
    keys = Json::array();
    for (int number = 2; number <= 70; ++number)
        keys.push_back(Core::concat("key-", number));
    auto const table = expect_held(spec);
    EXPECT_EQ(workspace_of(table, "key-1"), nullptr);
    ASSERT_NE(workspace_of(table, "key-2"), nullptr);
    ASSERT_NE(workspace_of(table, "key-70"), nullptr);
    EXPECT_EQ(workspace_of(table, "key-70")->name, "sound");
}

// Guards against a version rejected for a key that stands in it twice.
TEST(AcceptedConfiguration, HoldsWithAKeyListedTwice)
{
    auto spec = configuration();
    spec["tenants"][0]["api_keys"] = {"twice", "twice", "once"};
    EXPECT_EQ(workspace_of(expect_held(spec), "twice")->name, "sound");
    spec["tenants"].push_back({{"name", "other"}, {"api_keys", {"twice", "other"}}});
    auto const table = expect_held(spec);
    ASSERT_NE(workspace_of(table, "twice"), nullptr);
    EXPECT_EQ(workspace_of(table, "once")->name, "sound");
    EXPECT_EQ(workspace_of(table, "other")->name, "other");
}

// Guards against a version rejected for a number that operators may not enter.
TEST(AcceptedConfiguration, HoldsWithNumbersOfAnySize)
{
    auto spec = configuration();
    auto& route = spec["routes"][0];
    route["attempts"] = 40;
    route["timeout_ms"] = 100 * 3'600'000;
    route["latency_slo_ms"] = 2 * 3'600'000;
    route["gap_aim_ms"] = 2 * 3'600'000;
    route["prio"] = 25;
    spec["services"][0] = {{"name", "svc"}, {"cold_s", 7'200}, {"cold_per_s", 1e9}, {"engine", {{"kv_tokens", 3e9}}}};
    spec["tenants"][0]["prio"] = -3;
    spec["limits"] = {{"max_header_bytes", 4U << 20U}, {"max_body_bytes", 3U << 30U},
        {"header_timeout_ms", 2 * 3'600'000}, {"idle_timeout_ms", 48 * 3'600'000}};
    auto const table = expect_held(spec);
    auto const& decoded = table.routes().at("sound");
    EXPECT_EQ(decoded.tries, 40U);
    EXPECT_EQ(decoded.time_limit, std::chrono::hours(100));
    EXPECT_EQ(table.find_class("sound")->first_token_target, std::chrono::hours(2));
    EXPECT_EQ(table.find_class("sound")->tier, Table::s_lowest_tier);
    EXPECT_EQ(table.find_service("svc")->memory_tokens, 3'000'000'000U);
    EXPECT_EQ(table.caller_limits().head_bytes, 4U << 20U);
    EXPECT_EQ(table.caller_limits().body_bytes, 3U << 30U);
    EXPECT_EQ(table.caller_limits().idle_time, std::chrono::hours(48));
}

// Guards against a version rejected for the length or the characters of a name.
TEST(AcceptedConfiguration, HoldsWithNamesOfAnyText)
{
    std::vector<std::string> const names {s_long_text, "a b", "a/b", "a,b", "a:1", "100%", "%2C", "ž-ü", "", "#"};
    Json spec {{"version", 7}, {"services", Json::array()}, {"routes", Json::array()}, {"tenants", Json::array()}};
    for (std::size_t index = 0; index < names.size(); ++index) {
        auto const& name = names[index];
        spec["services"].push_back({{"name", name}, {"engine", {{"kv_tokens", 1'000}}}});
        auto route = sound_route();
        route["name"] = name;
        route["path_prefix"] = Core::concat("/", index, "/");
        route["service"] = name;
        route["allowed_regions"] = {name, "elsewhere"};
        spec["routes"].push_back(route);
        spec["tenants"].push_back({{"name", name}, {"api_keys", {Core::concat("key-", index)}}});
    }
    auto const table = expect_held(spec);
    for (std::size_t index = 0; index < names.size(); ++index) {
        auto const* const route = table.find_route("sound.example", Core::concat("/", index, "/x"));
        ASSERT_NE(route, nullptr) << names[index];
        EXPECT_EQ(route->targets, (std::vector<Table::RouteTarget> {{names[index], 1}}));
        EXPECT_EQ(route->regions, (std::vector<std::string> {names[index], "elsewhere"}));
        ASSERT_NE(table.find_service(names[index]), nullptr);
        EXPECT_EQ(workspace_of(table, Core::concat("key-", index))->name, names[index]);
    }
}

// Guards against a version rejected for a long host or prefix, or for many services of a route.
TEST(AcceptedConfiguration, HoldsWithLongPlacesAndManyServices)
{
    constexpr std::size_t count = 40;
    auto spec = configuration();
    auto& route = spec["routes"][0];
    route["host"] = s_long_text + ".example";
    route["path_prefix"] = Core::concat("/", s_long_text, "/");
    for (std::size_t number = 0; number < count; ++number)
        route["backends"].push_back({{"service", Core::concat("svc-", number)}, {"weight", number}});
    auto const table = expect_held(spec);
    auto const* const found = table.find_route(s_long_text + ".example", Core::concat("/", s_long_text, "/x"));
    ASSERT_NE(found, nullptr);
    ASSERT_EQ(found->targets.size(), count);
    EXPECT_EQ(found->targets[39].weight, 39U);
}

// Guards against shares that rounding removes or reverses.
TEST(AcceptedConfiguration, KeepsTheSharesOfFractionalAndLargeWeights)
{
    auto spec = configuration();
    auto& route = spec["routes"][0];
    route["backends"] = {{{"service", "a"}, {"weight", 0.3}}, {{"service", "b"}, {"weight", 0.1}},
        {{"service", "c"}, {"weight", 0}}, {{"service", "d"}, {"weight", 1e-12}}};
    auto targets = expect_held(spec).routes().at("sound").targets;
    EXPECT_NEAR(static_cast<double>(targets[0].weight) / targets[1].weight, 3, 0.001);
    EXPECT_EQ(targets[2].weight, 0U);
    EXPECT_GT(targets[3].weight, 0U);
    route["backends"] = {{{"service", "a"}, {"weight", 3e12}}, {{"service", "b"}, {"weight", 1e12}}};
    targets = expect_held(spec).routes().at("sound").targets;
    EXPECT_NEAR(static_cast<double>(targets[0].weight) / targets[1].weight, 3, 0.001);
}

// Guards against one of two rows that replaces the other since both have its name.
TEST(AcceptedConfiguration, KeepsRowsOfOneName)
{
    auto spec = configuration();
    auto route = sound_route();
    route["path_prefix"] = "/second/";
    route["prio"] = 3;
    spec["routes"].push_back(route);
    spec["tenants"].push_back({{"name", "sound"}, {"api_keys", {"second-key"}}});
    auto const table = expect_held(spec);
    auto const* const second = table.find_route("sound.example", "/second/x");
    ASSERT_NE(second, nullptr);
    EXPECT_NE(second, table.find_route("sound.example", "/sound/x"));
    EXPECT_EQ(table.find_class(second->request_class)->tier, 4U);
    EXPECT_EQ(workspace_of(table, "key-of-sound")->name, "sound");
    EXPECT_EQ(workspace_of(table, "second-key")->name, "sound");
}

// Guards against a version rejected for a service that has servers but no row.
TEST(AcceptedConfiguration, LeadsToServicesWithoutARow)
{
    auto spec = configuration();
    spec.erase("services");
    EXPECT_EQ(expect_held(spec).routes().at("sound").targets.front().service, "svc");
}

// Guards against a version of which a peer keeps only what operators may enter.
TEST(AcceptedConfiguration, ReachesPeersAsEdits)
{
    auto spec = configuration();
    auto const before = expect_held(spec);
    spec["version"] = 8;
    for (int number = 0; number < 70; ++number)
        spec["tenants"][0]["api_keys"].push_back(Core::concat("key-", number));
    spec["tenants"].push_back({{"name", "new, and long: " + s_long_text}, {"api_keys", {"new"}}});
    spec["routes"][0]["attempts"] = 17;
    auto const after = expect_held(spec);
    EXPECT_EQ(as_received_by_peer(before, after), after);
}

// Guards against a row that can't be read and keeps a whole version, and a key taken away in it, out of force.
TEST(AcceptedConfiguration, MarksARouteThatCanNotBeReadAndHoldsOtherwise)
{
    std::vector<std::pair<std::string, Json>> const faults {{"service", 5}, {"service", Json()}, {"backends", "svc"},
        {"backends", {{{"service", "svc"}}}}, {"backends", {{{"weight", 1}}}}, {"allowed_regions", "north"},
        {"allowed_regions", {1}}, {"path_prefix", 7}, {"host", Json::array()}};
    for (auto const& [field, value] : faults) {
        auto spec = configuration();
        auto route = sound_route();
        route["name"] = "odd";
        route["path_prefix"] = "/odd/";
        route[field] = value;
        spec["routes"].push_back(route);
        spec["tenants"][0]["api_keys"] = {"another-key"};
        auto const [table, findings] = decode(spec);
        EXPECT_FALSE(findings.is_empty()) << field;
        EXPECT_EQ(table.version(), Core::TableVersion(7));
        EXPECT_FALSE(table.routes().at("odd").unreadable.empty()) << field << value;
        EXPECT_TRUE(table.routes().at("sound").unreadable.empty());
        EXPECT_EQ(workspace_of(table, "key-of-sound"), nullptr);
        EXPECT_NE(workspace_of(table, "another-key"), nullptr);
        EXPECT_EQ(table.has_route_without_place(), field == "host" || field == "path_prefix");
        EXPECT_EQ(as_received_by_peer(table), table);
    }
}

// Guards against a request that is sent on by a shorter prefix, as its own route can't be read.
TEST(AcceptedConfiguration, FindsTheRouteThatCanNotBeReadBeforeAShorterOne)
{
    auto spec = configuration();
    auto route = sound_route();
    route["name"] = "odd";
    route["path_prefix"] = "/sound/odd/";
    route.erase("service");
    spec["routes"].push_back(route);
    auto const table = decode(spec).table;
    EXPECT_FALSE(table.find_route("sound.example", "/sound/odd/x")->unreadable.empty());
    EXPECT_TRUE(table.find_route("sound.example", "/sound/x")->unreadable.empty());
}

TEST(AcceptedConfiguration, MarksAWorkspaceThatCanNotBeReadAndHoldsOtherwise)
{
    std::vector<std::pair<std::string, Json>> const faults {{"api_keys", "odd"}, {"api_keys", {"odd", 5}},
        {"api_keys", Json()}, {"name", 5}, {"name", "two\r\nlines"}, {"allowed_regions", 5}};
    for (auto const& [field, value] : faults) {
        auto spec = configuration();
        Json odd {{"name", "odd"}, {"api_keys", {"odd"}}};
        odd[field] = value;
        spec["tenants"].push_back(odd);
        auto const [table, findings] = decode(spec);
        EXPECT_FALSE(findings.is_empty()) << field;
        EXPECT_TRUE(table.has_unreadable_workspace()) << field << value;
        EXPECT_TRUE(workspace_of(table, "key-of-sound")->unreadable.empty());
        auto const* const workspace = workspace_of(table, "odd");
        EXPECT_TRUE(workspace == nullptr || !workspace->unreadable.empty()) << field << value;
        EXPECT_EQ(as_received_by_peer(table), table);
    }
}

// Guards against a row that stays marked after a later version has mended it.
TEST(AcceptedConfiguration, FollowsARowThatALaterVersionMends)
{
    auto spec = configuration();
    spec["routes"][0].erase("service");
    spec["tenants"][0]["allowed_regions"] = 5;
    auto const before = decode(spec).table;
    spec = configuration();
    spec["version"] = 8;
    auto const after = expect_held(spec);
    EXPECT_EQ(as_received_by_peer(as_received_by_peer(before), after), after);
}

// Guards against random bytes of a peer that are taken for a newer version.
TEST(AcceptedConfiguration, IsRefusedFromAPeerWhereACellHasNoMeaning)
{
    auto const table = std::make_shared<Table::Table const>(decode(configuration()).table);
    std::vector<Table::Edit> const edits {{{Table::SheetName::Routes, "sound", "colour"}, "red"},
        {{Table::SheetName::Routes, "sound", "answer"}, "sung"}, {{Table::SheetName::Classes, "row", "tier"}, "?"},
        {{Table::SheetName::Routes, "nowhere", ""}, std::nullopt}};
    for (auto const& edit : edits) {
        auto const update = Entry::to_message(table->version(), table->version().next(), {edit});
        EXPECT_THROW(static_cast<void>(Entry::apply(update, Entry::read_edits(update), table)), Core::InvalidInput);
    }
}

// Guards against a table of a newer release that is rejected whole when it is read from its pages.
TEST(AcceptedConfiguration, MarksARowOfAPageThatCanNotBeRead)
{
    auto const table = decode(configuration()).table;
    Core::Findings findings;
    auto const read = table.with_accepted(
        {{{Table::SheetName::Routes, "sound", "colour"}, "red"}, {{Table::SheetName::Routes, "odd", "answer"}, "sung"}},
        findings);
    EXPECT_FALSE(findings.is_empty());
    EXPECT_EQ(read.routes().at("sound"), table.routes().at("sound"));
    EXPECT_FALSE(read.routes().at("odd").unreadable.empty());
}

// Fields that only describe a row take their defaults, and the row holds.
TEST(AcceptedConfiguration, HoldsARowWithoutWhatOnlyDescribesIt)
{
    for (auto const* field :
        {"name", "kind", "timeout_ms", "latency_slo_ms", "prio", "attempts", "no_auth", "resumable"}) {
        auto spec = configuration();
        spec["routes"][0][field] = Json::array({1});
        auto const [table, findings] = decode(spec);
        EXPECT_FALSE(findings.is_empty()) << field;
        auto const* const route = table.find_route("sound.example", "/sound/x");
        ASSERT_NE(route, nullptr) << field;
        EXPECT_TRUE(route->unreadable.empty()) << field;
        EXPECT_EQ(route->key, Table::KeyNeed::Required) << field;
    }
}

TEST(AcceptedConfiguration, IsRefusedOnlyWhereTheWholeHasAnotherForm)
{
    for (auto const& spec : {Json(), Json("text"), Json::object(), Json {{"version", 1}},
             Json {{"version", "1"}, {"routes", Json::array()}}, Json {{"version", 1}, {"routes", 5}},
             Json {{"version", 1}, {"routes", Json::array()}, {"tenants", "none"}}})
        EXPECT_THROW(static_cast<void>(decode(spec)), Core::InvalidInput) << spec;
}

// Whatever value stands in a field of a row: nothing is thrown, and other rows hold.
RC_GTEST_PROP(AcceptedConfiguration, AnyValueInARowSpoilsNoOther, ())
{
    auto const any_value = [] {
        std::vector<Json> const values {Json(), 5, -1, 1e300, 0.5, true, "text", "", std::string("\0,:%/", 5),
            Json::array(), Json::array({1, "a"}), Json::object(), {{"service", "x"}, {"weight", -5}}};
        return values[*rc::gen::inRange<std::size_t>(0, values.size())];
    };
    auto spec = configuration();
    for (auto const* list : {"routes", "tenants", "services"}) {
        auto const count = *rc::gen::inRange(1, 4);
        for (int index = 0; index < count; ++index) {
            Json row {{"name", "odd"}, {"host", "odd.example"}, {"path_prefix", "/odd/"}, {"service", "svc"},
                {"api_keys", {"odd"}}};
            for (auto const* field : {"name", "host", "path_prefix", "kind", "timeout_ms", "latency_slo_ms", "prio",
                     "service", "backends", "attempts", "no_auth", "resumable", "gap_aim_ms", "api_keys",
                     "allowed_regions", "cold_s", "cold_per_s", "engine"}) {
                if (*rc::gen::inRange(0, 3) == 0)
                    row[field] = any_value();
            }
            spec[list].push_back(*rc::gen::inRange(0, 5) == 0 ? any_value() : row);
        }
    }
    auto const [table, findings] = decode(spec);
    auto const* const route = table.find_route("sound.example", "/sound/x");
    RC_ASSERT(route != nullptr && route->unreadable.empty());
    auto const* const workspace = workspace_of(table, "key-of-sound");
    RC_ASSERT(workspace != nullptr);
    RC_ASSERT(as_received_by_peer(table) == table);
    auto const earlier = decode(configuration()).table;
    RC_ASSERT(as_received_by_peer(earlier, table) == table);
}

}
