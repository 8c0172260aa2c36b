// A dozen gateways of which few watch the platform's store: what the others know when watchers die or are parted from
// it.
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
/// A version in force everywhere: the time within which a gateway that reaches the store counts on being in step.
constexpr Core::Milliseconds s_in_force_limit {3'000};
constexpr char const* s_watching = "granitefield_store_watching";
constexpr char const* s_server_lists = R"(granitefield_store_calls_total{call="list",kind="servers"})";

class Watchers : public ::testing::Test, protected GatewayFleet {
protected:
    Watchers()
    {
        for (std::size_t number = 0; number < s_count; ++number)
            m_names.push_back(Core::concat("g-", number));
        // The order in which gateways of one failure domain are elected.
        std::ranges::sort(m_names, {}, [](auto const& name) { return Core::hash_bytes(name); });
        put_configuration(1, "/v1/");
        put_server(m_backend);
    }

    /// Starts all; the way of the first ones to the store leads through a proxy, if there are any.
    void start_all(std::vector<std::unique_ptr<FaultProxy>> const& ways = {})
    {
        // The seed is none of those that are elected.
        m_gateways.push_back(start(m_names.back()));
        m_seeds = Json::array({Core::concat("127.0.0.1:", m_gateways.front().peers)});
        for (std::size_t number = 0; number + 1 < s_count; ++number)
            m_gateways.push_back(start(m_names[number], m_seeds, number < ways.size() ? ways[number]->port() : 0));
        ASSERT_TRUE(wait_until([&] { return std::ranges::all_of(m_gateways, is_ready); }));
        ASSERT_TRUE(wait_until([&] { return watching().size() == Entry::PeerView::s_watchers_per_group; }));
        for (auto const& gateway : m_gateways)
            ASSERT_TRUE(wait_until([&] { return metric(gateway, "granitefield_peers") + 1 == s_count; }));
    }

    /// The gateways that watch, by their place.
    [[nodiscard]] std::vector<std::size_t> watching() const
    {
        std::vector<std::size_t> places;
        for (std::size_t place = 0; place < m_gateways.size(); ++place) {
            if (m_gateways[place].process->is_running() && metric(m_gateways[place], s_watching) == 1)
                places.push_back(place);
        }
        return places;
    }

    [[nodiscard]] bool all_serve(std::string const& prefix) const
    {
        return std::ranges::all_of(m_gateways,
            [&](auto const& gateway) { return !gateway.process->is_running() || ask(gateway, prefix) == 200; });
    }

    FakeBackend m_backend {"i-1", good()};
    std::vector<std::string> m_names;
    std::vector<Gateway> m_gateways;
    Json m_seeds;
};

}

TEST_F(Watchers, AreTwoAndTellTheOthersInTime)
{
    start_all();
    put_configuration(2, "/v2/");
    EXPECT_TRUE(wait_until([&] { return all_serve("/v2/"); }, s_in_force_limit));
    FakeBackend const second("i-2", good());
    put_server(second);
    put_server(m_backend, "draining");
    EXPECT_TRUE(wait_until(
        [&] {
            auto const before = second.count();
            return all_serve("/v2/") && second.count() == before + s_count;
        },
        s_in_force_limit));
    EXPECT_EQ(watching().size(), Entry::PeerView::s_watchers_per_group);
}

TEST_F(Watchers, AreReplacedWhenAllOfThemDie)
{
    start_all();
    for (auto const place : watching())
        m_gateways[place].process->kill();
    put_configuration(2, "/v2/");
    EXPECT_TRUE(wait_until([&] { return all_serve("/v2/"); }, s_in_force_limit));
    // Again, at those who stepped in.
    for (auto const place : watching())
        m_gateways[place].process->kill();
    put_configuration(3, "/v3/");
    EXPECT_TRUE(wait_until([&] { return all_serve("/v3/"); }, s_in_force_limit));
}

TEST_F(Watchers, AreReplacedWhenTheStoreIsSilentToThemAlone)
{
    std::vector<std::unique_ptr<FaultProxy>> ways;
    auto const store = *Core::Address::from_string(Core::concat("127.0.0.1:", platform_port()));
    for (std::size_t number = 0; number < Entry::PeerView::s_watchers_per_group; ++number)
        ways.push_back(std::make_unique<FaultProxy>(store));
    start_all(ways);
    for (auto const& way : ways)
        way->set_mode(FaultProxy::Mode::Freeze);
    put_configuration(2, "/v2/");
    EXPECT_TRUE(wait_until([&] { return all_serve("/v2/"); }, s_in_force_limit));
    // They are back at their place when the store speaks to them again, and nobody else is needed.
    for (auto const& way : ways)
        way->set_mode(FaultProxy::Mode::Pass);
    EXPECT_TRUE(wait_until([&] { return watching().size() == Entry::PeerView::s_watchers_per_group; }));
    put_configuration(3, "/v3/");
    EXPECT_TRUE(wait_until([&] { return all_serve("/v3/"); }, s_in_force_limit));
}

TEST_F(Watchers, AGatewayThatBeginsTakesWhatItsPeersHave)
{
    start_all();
    auto const newcomer = start("newcomer", m_seeds);
    ASSERT_TRUE(wait_until([&] { return is_ready(newcomer); }));
    EXPECT_EQ(ask(newcomer, "/v1/"), 200);
    EXPECT_EQ(metric(newcomer, s_server_lists), 0U);
}

TEST_F(Watchers, AreTwoAgainAfterAllGatewaysBeganAtOnceAndTheStoreWasAway)
{
    start_all();
    control({{"outage", "busy"}});
    ASSERT_TRUE(wait_until([&] {
        return std::ranges::all_of(m_gateways, [](auto const& gateway) {
            return metric(gateway, R"(granitefield_store_failures_total{kind="servers"})") > 0;
        });
    }));
    EXPECT_TRUE(all_serve("/v1/"));
    control({{"outage", ""}});
    put_configuration(2, "/v2/");
    EXPECT_TRUE(wait_until([&] { return all_serve("/v2/"); }, s_in_force_limit));
    EXPECT_TRUE(wait_until([&] { return watching().size() == Entry::PeerView::s_watchers_per_group; }));
}

}
