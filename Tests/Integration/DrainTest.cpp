// Operators drain a failure domain by the platform's store while requests run at a dozen gateways: within the promised
// time none of them sends it anything more, whoever watches the store, and until it is taken back.
#include "FaultProxy.h"
#include "Fleet.h"
#include "GatewayFleet.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibEntry/PeerView.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

constexpr std::size_t s_count = 12;
/// The promise to operators.
constexpr Core::Milliseconds s_drain_limit {5'000};
constexpr char const* s_drains_kind = "evacuations";

class Drains : public ::testing::Test, protected GatewayFleet {
protected:
    Drains()
    {
        for (std::size_t number = 0; number < s_count; ++number)
            m_names.push_back(Core::concat("g-", number));
        // The order in which gateways of one failure domain are elected to watch.
        std::ranges::sort(m_names, {}, [](auto const& name) { return Core::hash_bytes(name); });
        set_domain_drains(s_drain_limit);
        put_configuration(1, "/v1/");
        put_server(m_here);
        put_server_at(m_there, "there");
    }

    void put_server_at(FakeBackend const& backend, std::string const& domain) const
    {
        auto const entry = backend.entry();
        put("servers", entry.instance,
            {{"service", entry.service}, {"addr", entry.address.to_string()}, {"zone", domain}, {"slots", 8},
                {"state", "ready"}});
    }

    void start_all(std::vector<std::unique_ptr<FaultProxy>> const& ways = {})
    {
        m_gateways.push_back(start(m_names.back()));
        auto const seeds = Json::array({Core::concat("127.0.0.1:", m_gateways.front().peers)});
        for (std::size_t number = 0; number + 1 < s_count; ++number)
            m_gateways.push_back(start(m_names[number], seeds, number < ways.size() ? ways[number]->port() : 0));
        ASSERT_TRUE(wait_until([&] { return std::ranges::all_of(m_gateways, is_ready); }));
        for (auto const& gateway : m_gateways)
            ASSERT_TRUE(wait_until([&] { return metric(gateway, "granitefield_peers") + 1 == s_count; }));
    }

    void ask_all() const
    {
        for (auto const& gateway : m_gateways)
            EXPECT_EQ(ask(gateway, "/v1/"), 200);
    }

    [[nodiscard]] static bool drains(Gateway const& gateway, std::string const& domain)
    {
        auto const status = send_request(gateway.operators, "GET", "/status", "").json();
        auto const& domains = status["drained-domains"];
        return std::ranges::find(domains, Json(domain)) != domains.end();
    }

    [[nodiscard]] bool all_drain(std::string const& domain) const
    {
        return std::ranges::all_of(m_gateways, [&](auto const& gateway) { return drains(gateway, domain); });
    }

    [[nodiscard]] bool none_drains(std::string const& domain) const
    {
        return std::ranges::none_of(m_gateways, [&](auto const& gateway) { return drains(gateway, domain); });
    }

    FakeBackend m_here {"i-1", good()};
    FakeBackend m_there {"i-2", good()};
    std::vector<std::string> m_names;
    std::vector<Gateway> m_gateways;
};

}

TEST_F(Drains, ReachAllGatewaysInTimeAndAreTakenBack)
{
    start_all();
    put(s_drains_kind, "here", Json::object());
    ASSERT_TRUE(wait_until([&] { return all_drain("here"); }, s_drain_limit));
    auto const before = m_here.count();
    ask_all();
    EXPECT_EQ(m_here.count(), before);
    // The other one as well: nothing is left.
    put(s_drains_kind, "there", Json::object());
    ASSERT_TRUE(wait_until([&] { return all_drain("there"); }, s_drain_limit));
    auto const before_there = m_there.count();
    for (auto const& gateway : m_gateways)
        EXPECT_EQ(ask(gateway, "/v1/"), 503);
    EXPECT_EQ(m_there.count(), before_there);
    remove(s_drains_kind, "here");
    EXPECT_TRUE(wait_until([&] { return none_drains("here"); }, s_drain_limit));
    ask_all();
    EXPECT_EQ(m_there.count(), before_there);
}

TEST_F(Drains, ReachAllGatewaysWhenTheStoreIsSilentToTheWatchersAlone)
{
    std::vector<std::unique_ptr<FaultProxy>> ways;
    auto const store = *Core::Address::from_string(Core::concat("127.0.0.1:", platform_port()));
    for (std::size_t number = 0; number < Entry::PeerView::s_watchers_per_group; ++number)
        ways.push_back(std::make_unique<FaultProxy>(store));
    start_all(ways);
    for (auto const& way : ways)
        way->set_mode(FaultProxy::Mode::Freeze);
    put(s_drains_kind, "here", Json::object());
    EXPECT_TRUE(wait_until([&] { return all_drain("here"); }, s_drain_limit));
}

TEST_F(Drains, AGatewayThatBeginsTakesThemFromItsPeers)
{
    start_all();
    put(s_drains_kind, "here", Json::object());
    ASSERT_TRUE(wait_until([&] { return all_drain("here"); }, s_drain_limit));
    auto const newcomer = start("newcomer", Json::array({Core::concat("127.0.0.1:", m_gateways.front().peers)}));
    ASSERT_TRUE(wait_until([&] { return is_ready(newcomer); }));
    EXPECT_TRUE(wait_until([&] { return drains(newcomer, "here"); }, s_drain_limit));
    EXPECT_EQ(metric(newcomer, R"(granitefield_store_calls_total{call="list",kind="evacuations"})"), 0U);
}

}
