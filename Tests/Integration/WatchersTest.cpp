// A dozen gateways of which few watch the platform's store: what the others know when watchers die or are parted from
// it.
#include "FaultProxy.h"
#include "Fleet.h"
#include "GatewayFleet.h"
#include "ProcessorWaits.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibEntry/PeerView.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

constexpr std::size_t s_count = 12;
/// A version in force everywhere: the time within which a gateway that reaches the store counts on being in step.
constexpr Core::Milliseconds s_in_force_limit {3'000};
/// A start among a dozen that start together.
constexpr Core::Milliseconds s_start_limit {20'000};
/// Limits in a row within which a process was away, before the test gives up.
constexpr int s_most_absences = 20;
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
        m_waits.watch(::getpid());
    }

    /// Starts all; the way of the first ones to the store leads through a proxy, if there are any.
    void start_all(std::vector<std::unique_ptr<FaultProxy>> const& ways = {})
    {
        // The seed is none of those that are elected.
        start_one(m_names.back(), Json::array(), 0);
        m_seeds = Json::array({Core::concat("127.0.0.1:", m_gateways.front().peers)});
        for (std::size_t number = 0; number + 1 < s_count; ++number)
            start_one(m_names[number], m_seeds, number < ways.size() ? ways[number]->port() : 0);
        ASSERT_TRUE(holds_in_time([&] { return std::ranges::all_of(m_gateways, is_ready); }, s_start_limit));
        ASSERT_TRUE(holds_in_time([&] { return are_two_watching(); }, s_start_limit));
        for (auto const& gateway : m_gateways) {
            ASSERT_TRUE(
                holds_in_time([&] { return metric(gateway, "granitefield_peers") + 1 == s_count; }, s_start_limit));
        }
    }

    void start_one(std::string const& name, Json const& seeds, std::uint16_t store)
    {
        m_gateways.push_back(start(name, seeds, store));
        m_waits.watch(m_gateways.back().process->id());
    }

    /// Whether the condition comes to hold within the limit at processes that run. A promise in time holds for hosts
    /// that are in touch; where one of them had no processor, its time begins anew.
    template <typename Condition>
    [[nodiscard]] bool holds_in_time(Condition const& condition, Core::Milliseconds limit = s_in_force_limit)
    {
        for (auto tries = s_most_absences; tries > 0; --tries) {
            static_cast<void>(m_waits.was_any_away());
            if (wait_until(condition, limit))
                return true;
            if (!m_waits.was_any_away())
                return false;
            m_was_away = true;
        }
        return false;
    }

    [[nodiscard]] bool are_two_watching() const { return watching().size() == Entry::PeerView::s_watchers_per_group; }

    /// Whether two watch now. Where processes were away a moment ago, those who ran have heard nothing of the watchers
    /// and have stepped in for them; then there are two again in time.
    [[nodiscard]] bool are_still_two_watching()
    {
        bool const is_calm = !m_waits.was_any_away() && !m_was_away;
        return is_calm ? are_two_watching() : holds_in_time([&] { return are_two_watching(); });
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
    ProcessorWaits m_waits;
    bool m_was_away {false};
};

}

TEST_F(Watchers, AreTwoAndTellTheOthersInTime)
{
    start_all();
    put_configuration(2, "/v2/");
    EXPECT_TRUE(holds_in_time([&] { return all_serve("/v2/"); }));
    FakeBackend const second("i-2", good());
    put_server(second);
    put_server(m_backend, "draining");
    EXPECT_TRUE(holds_in_time([&] {
        auto const before = second.count();
        return all_serve("/v2/") && second.count() == before + s_count;
    }));
    EXPECT_TRUE(are_still_two_watching());
}

TEST_F(Watchers, AreReplacedWhenAllOfThemDie)
{
    start_all();
    for (auto const place : watching())
        m_gateways[place].process->kill();
    put_configuration(2, "/v2/");
    EXPECT_TRUE(holds_in_time([&] { return all_serve("/v2/"); }));
    // Again, at those who stepped in.
    for (auto const place : watching())
        m_gateways[place].process->kill();
    put_configuration(3, "/v3/");
    EXPECT_TRUE(holds_in_time([&] { return all_serve("/v3/"); }));
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
    EXPECT_TRUE(holds_in_time([&] { return all_serve("/v2/"); }));
    // They are back at their place when the store speaks to them again, and nobody else is needed.
    for (auto const& way : ways)
        way->set_mode(FaultProxy::Mode::Pass);
    EXPECT_TRUE(holds_in_time([&] { return are_two_watching(); }, s_start_limit));
    put_configuration(3, "/v3/");
    EXPECT_TRUE(holds_in_time([&] { return all_serve("/v3/"); }));
}

TEST_F(Watchers, AGatewayThatBeginsTakesWhatItsPeersHave)
{
    start_all();
    auto const newcomer = start("newcomer", m_seeds);
    ASSERT_TRUE(holds_in_time([&] { return is_ready(newcomer); }, s_start_limit));
    EXPECT_EQ(ask(newcomer, "/v1/"), 200);
    EXPECT_EQ(metric(newcomer, s_server_lists), 0U);
}

TEST_F(Watchers, AreTwoAgainAfterAllGatewaysBeganAtOnceAndTheStoreWasAway)
{
    start_all();
    control({{"outage", "busy"}});
    auto const has_failed = [](auto const& gateway) {
        return metric(gateway, R"(granitefield_store_failures_total{kind="servers"})") > 0;
    };
    ASSERT_TRUE(holds_in_time([&] { return std::ranges::all_of(m_gateways, has_failed); }, s_start_limit));
    EXPECT_TRUE(all_serve("/v1/"));
    control({{"outage", ""}});
    put_configuration(2, "/v2/");
    EXPECT_TRUE(holds_in_time([&] { return all_serve("/v2/"); }));
    EXPECT_TRUE(holds_in_time([&] { return are_two_watching(); }, s_start_limit));
}

}
