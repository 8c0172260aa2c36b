#include <LibSettings/DaemonSettings.h>

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Settings {

using namespace std::chrono_literals;

namespace {

std::vector<std::string> places_of(std::string const& text)
{
    try {
        static_cast<void>(parse_settings(text));
    } catch (Core::InvalidInput const& error) {
        std::vector<std::string> places;
        for (auto const& finding : error.findings().all())
            places.push_back(finding.place);
        return places;
    }
    return {};
}

}

TEST(DaemonSettings, ReadsASide)
{
    auto const settings
        = parse_settings(R"({"role": "side", "name": "s", "failure-domain": "ba-hall-a", "region": "sk-west",
        "operator-address": "127.0.0.1:1", "link-address": "[::1]:2",
        "backend-server": {"name": "llm-1", "service": "llm", "address": "127.0.0.1:3", "slots": 8},
        "queue": {"limit": 10, "headroom-slots": 2, "discipline": "arrival"}, "tickets": {"hold": "5m"}})");
    EXPECT_EQ(settings.role, Role::Side);
    EXPECT_EQ(settings.side.limits.slots, 8U);
    EXPECT_EQ(settings.side.tickets.hold, 5min);
    EXPECT_EQ(settings.side.discipline, Side::DisciplineName::Arrival);
    EXPECT_EQ(settings.side.link_address.to_string(), "[::1]:2");
}

TEST(DaemonSettings, ReadsAGateway)
{
    auto const settings = parse_settings(R"({"role": "gateway", "name": "g", "failure-domain": "a", "region": "r",
        "operator-address": "127.0.0.1:1", "callers-address": "127.0.0.1:2", "readiness-address": "127.0.0.1:3",
        "load-address": "127.0.0.1:4", "readiness-path": "/ready", "drain-limit": "7.5s",
        "platform": {"address": "127.0.0.1:5", "contact-time": "3s"}, "peers": {"address": "127.0.0.1:6", "seeds": ["127.0.0.1:7"]},
        "retries": {"ratio": 0.2, "slack": 54, "window": "9.6s"}, "routing": {"reading-weight": 4}})");
    EXPECT_EQ(settings.role, Role::Gateway);
    EXPECT_EQ(settings.gateway.platform.contact_time, 3s);
    EXPECT_EQ(settings.gateway.server.drain_limit, 7'500ms);
    EXPECT_EQ(settings.gateway.server.runs.retries.window, 9'600ms);
    EXPECT_EQ(settings.gateway.server.fleet.reading_weight, 4);
    EXPECT_EQ(settings.gateway.peers.load_address, "127.0.0.1:4");
}

TEST(DaemonSettings, ReadsWhatAdmissionTakesIntoAccount)
{
    auto const read = [](std::string const& admission) {
        return parse_settings(R"({"role": "gateway", "name": "g", "failure-domain": "a", "region": "r",
            "operator-address": "127.0.0.1:1", "callers-address": "127.0.0.1:2", "readiness-address": "127.0.0.1:3",
            "platform": {"address": "127.0.0.1:5"}, "peers": {"address": "127.0.0.1:6", "seeds": []})"
            + admission + "}")
            .gateway.server.runs.admission;
    };
    auto const off = read("");
    EXPECT_FALSE(off.uses_workspace_shares || off.is_fleet_wide || off.has_return_line);
    auto const partly = read(R"(, "admission": {"workspace-shares": true, "return-line": true})");
    EXPECT_TRUE(partly.uses_workspace_shares && partly.has_return_line);
    EXPECT_FALSE(partly.is_fleet_wide);
    EXPECT_THROW(static_cast<void>(read(R"(, "admission": {"fleet-wide": 1})")), Core::InvalidInput);
    EXPECT_THROW(static_cast<void>(read(R"(, "admission": {"fleet": true})")), Core::InvalidInput);
}

TEST(DaemonSettings, ReadsRegionsAndWhatMayBeHeldForCallers)
{
    auto const read = [](std::string const& more) {
        return parse_settings(R"({"role": "gateway", "name": "g", "failure-domain": "a", "region": "north",
            "operator-address": "127.0.0.1:1", "callers-address": "127.0.0.1:2", "readiness-address": "127.0.0.1:3",
            "platform": {"address": "127.0.0.1:5", "domain-drain-limit": "5s"}, "peers": {"address": "127.0.0.1:6"})"
            + more + "}");
    };
    auto const settings = read(R"(, "regions": {"a": "north", "b": "south"}, "memory-megabytes": 120)");
    std::map<std::string, std::string> const regions {{"a", "north"}, {"b", "south"}};
    EXPECT_EQ(settings.gateway.server.fleet.regions, regions);
    EXPECT_EQ(settings.gateway.server.runs.held_limit, 30U << 20U);
    EXPECT_EQ(settings.gateway.server.runs.memory_limit, 60U << 20U);
    EXPECT_EQ(settings.gateway.platform.drain_limit, 5s);
    // A template gives null where the platform has no such field; the own domain's region is known all the same.
    std::map<std::string, std::string> const own {{"a", "north"}};
    EXPECT_EQ(read(R"(, "regions": null)").gateway.server.fleet.regions, own);
}

TEST(Duration, IsADecimalNumberWithAUnit)
{
    EXPECT_EQ(Core::parse_duration("9.6s"), 9'600ms);
    EXPECT_EQ(Core::parse_duration("0.25ms"), 0ms);
    for (auto const* text :
        {"", "s", "-1s", "+1s", "1e3s", "inf s", "nan", ".5s", "1 s", "1sec", "1e999s", "99999999h"})
        EXPECT_FALSE(Core::parse_duration(text)) << text;
}

TEST(DaemonSettings, ReportsEverythingThatIsWrongWithItsPlace)
{
    auto const places
        = places_of(R"({"role": "entry", "name": 7, "region": "sk-west", "operator-address": "localhost:1",
        "callers": {"address": "127.0.0.1:1", "threads": 0}, "platform": {"call-timeout": "soon"}, "peers": {"address": "127.0.0.1:2", "seeds": ["127.0.0.1:3", "x"]},
        "routing": {"heartbeat": "1ms", "colour": "red"}})");
    std::vector<std::string> const expected {"/name", "/failure-domain", "/operator-address", "/callers/threads",
        "/platform/address", "/platform/call-timeout", "/peers/seeds/1", "/routing/colour", "/routing/heartbeat"};
    for (auto const& place : expected)
        EXPECT_NE(std::ranges::find(places, place), places.end()) << place;
    EXPECT_EQ(places.size(), expected.size());
}

RC_GTEST_PROP(DaemonSettings, AnyTextIsRejectedWithAPlace, (std::string const& text))
{
    RC_ASSERT(!places_of(text).empty());
    RC_ASSERT(!places_of("{\"role\": \"side\", \"queue\": " + text + "}").empty());
}

}
