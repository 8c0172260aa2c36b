// A version of the configuration that the store has accepted is in force at every gateway within seconds, whatever
// stands in it and however large it is.
#include "FaultProxy.h"
#include "GatewayFleet.h"
#include "ProcessMemory.h"
#include "ProcessorShares.h"

#include <LibCore/Text.h>

#include <string>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

/// What is promised while the store is there: `apply_ms` of both deployments.
constexpr Core::Milliseconds s_in_force_limit {2'000};
/// What is promised beyond it where a gateway does not reach the store: `max_stretch_ms` of both deployments.
constexpr Core::Milliseconds s_spread_limit {5'000};
/// The largest value of the store: `value_bytes` of both deployments.
constexpr std::size_t s_value_bytes = 1'048'576;
/// Room for what the store adds to a configuration.
constexpr std::size_t s_metadata_bytes = 1'024;
/// The smaller of both deployments' `front` hosts.
constexpr double s_processor_share = 0.19;
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

/// The shortest keys of which there are enough: they make the most rows.
std::string short_key(std::size_t number)
{
    constexpr std::string_view digits = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    std::string key;
    for (int digit = 0; digit < 3; ++digit) {
        key += digits[number % digits.size()];
        number /= digits.size();
    }
    return key;
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

// Guards against versions of the size that the store allows that come late, or pass the memory of a host.
class LargestVersion : public AcceptedVersion, public ::testing::WithParamInterface<char const*> {
protected:
    /// Routes and workspaces that fill the store's largest value. Each version differs in one key.
    [[nodiscard]] static Json configuration_of(unsigned version, std::string const& filling)
    {
        auto spec = configuration(version, Json::array({keyed_route()}));
        spec["tenants"] = Json::array({workspace("ws", Json::array({"key", Core::concat("version-", version)}))});
        auto const fill = [&](Json& list, auto const& make) {
            auto room = s_value_bytes - s_metadata_bytes - spec.dump().size();
            for (std::size_t number = 0;; ++number) {
                Json row = make(number);
                // With the comma before it.
                auto const size = row.dump().size() + 1;
                if (size > room)
                    return;
                room -= size;
                list.push_back(std::move(row));
            }
        };
        auto const workspace_of
            = [](auto number) { return workspace(short_key(number), Json::array({short_key(number)})); };
        auto const route_of
            = [](auto number) { return route(short_key(number), Core::concat("/", number, "/"), "safe"); };
        if (filling == "keys")
            fill(spec["tenants"][0]["api_keys"], short_key);
        if (filling == "workspaces")
            fill(spec["tenants"], workspace_of);
        if (filling == "routes")
            fill(spec["routes"], route_of);
        EXPECT_LE(spec.dump().size(), s_value_bytes);
        EXPECT_GT(spec.dump().size(), s_value_bytes * 9 / 10);
        return spec;
    }

    void put_first_version()
    {
        auto const workspaces = Json::array({workspace("ws", Json::array({"key", "version-1"}))});
        put_version(1, Json::array({keyed_route()}), workspaces);
    }
};

TEST_P(LargestVersion, IsInForceInTimeOnASmallHost)
{
    put_first_version();
    auto const gateway = start("g-1");
    auto const follower = start("g-2", Json::array({Core::concat("127.0.0.1:", gateway.peers)}), 1);
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway) && is_ready(follower); }));
    ProcessorShares shares;
    for (auto const* const each : {&gateway, &follower})
        shares.set(each->process->id(), s_processor_share);
    for (unsigned version = 2; version < 8; ++version) {
        put("config", "main", configuration_of(version, GetParam()));
        auto const begun = Core::monotonic_now();
        for (auto const* const each : {&gateway, &follower}) {
            auto const old_key = Core::concat("version-", version - 1);
            auto const limit = each == &gateway ? s_in_force_limit : s_in_force_limit + s_spread_limit;
            EXPECT_TRUE(wait_until([&] { return ask_with_key(*each, "/a/", old_key) == 401; }, limit))
                << (each == &gateway ? "from the store" : "from a peer") << ", version " << version;
            std::cerr << GetParam() << ", version " << version << ": "
                      << Core::elapsed(begun, Core::monotonic_now()).count() << " ms, "
                      << peak_memory(each->process->id()) / 1'000'000 << " MB\n";
        }
    }
    for (auto const* const each : {&gateway, &follower})
        EXPECT_LT(peak_memory(each->process->id()), s_host_memory_bytes);
}

TEST_P(LargestVersion, IsInForceInTimeAmongOthersInQuickSuccession)
{
    put_first_version();
    auto const gateway = start("g-1");
    ASSERT_TRUE(wait_until([&] { return is_ready(gateway); }));
    ProcessorShares shares;
    shares.set(gateway.process->id(), s_processor_share);
    constexpr unsigned last = 12;
    for (unsigned version = 2; version <= last; ++version)
        put("config", "main", configuration_of(version, GetParam()));
    auto const newest = Core::concat("version-", last);
    EXPECT_TRUE(wait_until([&] { return ask_with_key(gateway, "/a/", newest) == 200; }, s_in_force_limit));
    EXPECT_LT(peak_memory(gateway.process->id()), s_host_memory_bytes);
}

INSTANTIATE_TEST_SUITE_P(Fillings, LargestVersion, ::testing::Values("keys", "workspaces", "routes"));

}
