// A version of the configuration that the store has accepted is in force at every gateway within seconds, whatever
// stands in it.
#include "FaultProxy.h"
#include "GatewayFleet.h"

#include <LibCore/Text.h>

#include <string>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

/// What is promised while the store is there: `apply_ms` of both deployments.
constexpr Core::Milliseconds s_in_force_limit {2'000};
Json keyed_route()
{
    auto route = GatewayFleet::route("r-1", "/a/", "safe");
    route["no_auth"] = false;
    return route;
}

Json workspace(std::string const& name, Json keys)
{
    return {{"name", name}, {"api_keys", std::move(keys)}};
}

Json keys(std::string const& prefix, std::size_t begin, std::size_t end)
{
    Json list = Json::array();
    for (auto number = begin; number < end; ++number)
        list.push_back(Core::concat(prefix, number));
    return list;
}

class AcceptedVersion : public ::testing::Test, protected GatewayFleet {
protected:
    AcceptedVersion() { put_server(m_backend); }

    static int ask_with_key(Gateway const& gateway, std::string const& path, std::string const& key)
    {
        RawCaller caller(gateway.callers);
        caller.write(Core::concat("GET ", path,
            " HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: r-1\r\nAuthorization: Bearer ", key, "\r\n\r\n"));
        return caller.read_answer().status;
    }

    void put_version(unsigned version, Json const& routes, Json const& workspaces)
    {
        auto spec = configuration(version, routes);
        spec["tenants"] = workspaces;
        put("config", "main", spec);
    }

    FakeBackend m_backend {"i-1", good()};
};

}

// Guards against a key that was taken away and stays good since its workspace has more keys than operators may enter.
TEST_F(AcceptedVersion, TakesAKeyAwayHoweverManyRemain)
{
    put_version(7, Json::array({keyed_route()}), Json::array({workspace("ws", keys("key-", 1, 61))}));
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    ASSERT_EQ(ask_with_key(gateway, "/a/", "key-1"), 200);
    // The second one's store is a port where nobody listens.
    auto const follower = start("g-2", Json::array({Core::concat("127.0.0.1:", gateway.peers)}), 1);
    ASSERT_TRUE(wait_until([&] { return is_ready(follower); }));
    put_version(9, Json::array({keyed_route()}), Json::array({workspace("ws", keys("key-", 2, 71))}));
    for (auto const* const each : {&gateway, &follower}) {
        EXPECT_TRUE(wait_until([&] { return ask_with_key(*each, "/a/", "key-1") == 401; }, s_in_force_limit));
        EXPECT_EQ(ask_with_key(*each, "/a/", "key-70"), 200);
    }
}

// Guards against a key that was taken away and stays good since another row of the version can't be read.
TEST_F(AcceptedVersion, HoldsBesideARouteThatCanNotBeRead)
{
    auto odd = GatewayFleet::route("odd", "/a/odd/", "safe");
    put_version(1, Json::array({keyed_route(), odd}), Json::array({workspace("ws", Json::array({"key-1", "key-2"}))}));
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    ASSERT_EQ(ask(gateway, "/a/odd/"), 200);
    odd["service"] = 17;
    put_version(2, Json::array({keyed_route(), odd}), Json::array({workspace("ws", Json::array({"key-2"}))}));
    EXPECT_TRUE(wait_until([&] { return ask_with_key(gateway, "/a/", "key-1") == 401; }, s_in_force_limit));
    EXPECT_EQ(ask_with_key(gateway, "/a/", "key-2"), 200);
    // Neither run by the old service nor by that of the shorter prefix.
    EXPECT_EQ(ask(gateway, "/a/odd/"), 503);
    EXPECT_TRUE(is_ready(gateway));
    put_version(
        3, Json::array({keyed_route()}), Json::array({workspace("ws", Json::array({"key-2"})), workspace("odd", 5)}));
    // The key may be one of the workspace that can't be read, so that 401 could be wrong.
    EXPECT_TRUE(wait_until([&] { return ask_with_key(gateway, "/a/", "key-1") == 503; }, s_in_force_limit));
    EXPECT_EQ(ask_with_key(gateway, "/a/", "key-2"), 200);
}

// Guards against a gateway that calls itself ready while it can't put the newest version in force.
TEST_F(AcceptedVersion, IsNotReadyWhileTheNewestCanNotBeRead)
{
    put_version(1, Json::array({keyed_route()}), Json::array({workspace("ws", Json::array({"key-1"}))}));
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    put("config", "main", {{"version", 2}, {"routes", "none"}});
    EXPECT_TRUE(wait_until([&] { return !is_ready(gateway); }, s_in_force_limit));
    EXPECT_EQ(ask_with_key(gateway, "/a/", "key-1"), 200);
    put_version(3, Json::array({keyed_route()}), Json::array({workspace("ws", Json::array({"key-1"}))}));
    EXPECT_TRUE(wait_until([&] { return is_ready(gateway); }, s_in_force_limit));
}

}
