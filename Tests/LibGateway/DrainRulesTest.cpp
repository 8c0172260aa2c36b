// Operators drained a failure domain, and requests went on to its engines for as long as it was drained; when it came
// back, its engines were cold, and all gateways sent to them at once. Routes and workspaces that are bound to regions
// were served anywhere.
#include "GatewayFixture.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

class DrainRules : public GatewayFixture {
protected:
    DrainRules() { m_settings.fleet.regions = {{"here", "north"}, {"there", "south"}}; }

    FakeBackend& add_good_backend(std::string const& instance, std::string const& domain)
    {
        auto& backend = add_backend(
            instance, [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
        m_servers_list.servers.back().failure_domain = domain;
        return backend;
    }

    void drain(std::set<std::string> const& domains)
    {
        m_drains.offer({m_drains.version().next(), {}, domains});
        m_gateway->wake();
    }

    void start_with_drains()
    {
        publish_table();
        publish_servers();
        m_gateway = std::make_unique<Gateway::GatewayServer>(
            m_settings, m_table, m_servers, m_membership, m_duty, m_log, m_metrics, nullptr, nullptr, &m_drains);
        m_gateway->wake();
    }

    /// Sends so many requests and gives the statuses other than 200.
    std::vector<int> failed_statuses(int count, std::string const& target)
    {
        std::vector<int> failures;
        for (int number = 0; number < count; ++number) {
            auto const status = answer_of(request("GET", target)).status;
            if (status != 200)
                failures.push_back(status);
        }
        return failures;
    }

    /// Servers bear one request a second while they are cold, and are for a minute.
    void configure_cold_start() { set(Table::SheetName::Services, "svc", {{"cold-time", "60s"}, {"cold-rate", "60"}}); }

    void set_known_membership()
    {
        m_membership.set_load_members({});
        m_membership.is_discovery_complete = true;
    }

    Entry::SharedDrains m_drains;
};

constexpr int s_request_count = 20;

}

TEST_F(DrainRules, ADrainedDomainGetsNothingUntilItIsTakenBack)
{
    auto const& here = add_good_backend("i-1", "here");
    auto const& there = add_good_backend("i-2", "there");
    start_with_drains();
    drain({"here"});
    EXPECT_TRUE(failed_statuses(s_request_count, "/safe/").empty());
    EXPECT_EQ(here.count(), 0U);
    EXPECT_EQ(there.count(), static_cast<std::size_t>(s_request_count));
    drain({"there"});
    EXPECT_TRUE(failed_statuses(s_request_count, "/safe/").empty());
    EXPECT_EQ(here.count(), static_cast<std::size_t>(s_request_count));
}

TEST_F(DrainRules, WhereAllDomainsAreDrainedRequestsAreRefusedAtOnceAsNotRun)
{
    auto const& here = add_good_backend("i-1", "here");
    start_with_drains();
    drain({"here", "there"});
    auto const begun = Core::monotonic_now();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(field_of(answer.head, "Retry-After"));
    EXPECT_NE(answer.body.find("drained"), std::string::npos) << answer.body;
    // An eighth of the target, long before the gateway would give up looking for a server.
    EXPECT_LT(Core::elapsed(begun, Core::monotonic_now()), Core::Milliseconds(125));
    EXPECT_EQ(here.count(), 0U);
}

TEST_F(DrainRules, AnEngineThatBeginsInADrainedDomainGetsNothing)
{
    add_good_backend("i-1", "there");
    start_with_drains();
    drain({"here"});
    auto const& late = add_good_backend("i-2", "here");
    publish_servers();
    EXPECT_TRUE(failed_statuses(s_request_count, "/safe/").empty());
    EXPECT_EQ(late.count(), 0U);
}

TEST_F(DrainRules, EnginesOfADomainThatIsTakenBackAreTakenForCold)
{
    configure_cold_start();
    auto const& here = add_good_backend("i-1", "here");
    add_good_backend("i-2", "there");
    set_known_membership();
    start_with_drains();
    drain({"here"});
    EXPECT_TRUE(failed_statuses(1, "/safe/").empty());
    drain({});
    EXPECT_TRUE(failed_statuses(s_request_count, "/safe/").empty());
    EXPECT_LE(here.count(), 1U);
}

TEST_F(DrainRules, AnEngineThatSaysItIsColdGetsWhatItBears)
{
    configure_cold_start();
    auto const& cold = add_good_backend("i-1", "here");
    m_servers_list.servers.back().cold_until = Core::monotonic_now() + Core::Milliseconds(60'000);
    auto const& warm = add_good_backend("i-2", "here");
    set_known_membership();
    start_with_drains();
    EXPECT_TRUE(failed_statuses(s_request_count, "/safe/").empty());
    EXPECT_LE(cold.count(), 1U);
    EXPECT_GE(warm.count(), static_cast<std::size_t>(s_request_count - 1));
}

TEST_F(DrainRules, AGatewayThatDoesNotKnowTheOthersSendsNothingToAColdEngine)
{
    configure_cold_start();
    auto const& cold = add_good_backend("i-1", "here");
    m_servers_list.servers.back().cold_until = Core::monotonic_now() + Core::Milliseconds(60'000);
    add_good_backend("i-2", "here");
    start_with_drains();
    EXPECT_TRUE(failed_statuses(s_request_count, "/safe/").empty());
    EXPECT_EQ(cold.count(), 0U);
}

TEST_F(DrainRules, ARouteIsServedInItsRegionsOnly)
{
    auto const& here = add_good_backend("i-1", "here");
    auto const& there = add_good_backend("i-2", "there");
    set(Table::SheetName::Routes, "safe", {{"regions", "south,west"}});
    start_with_drains();
    EXPECT_TRUE(failed_statuses(s_request_count, "/safe/").empty());
    EXPECT_EQ(here.count(), 0U);
    EXPECT_EQ(there.count(), static_cast<std::size_t>(s_request_count));
}

TEST_F(DrainRules, RouteAndWorkspaceBothBind)
{
    auto const& here = add_good_backend("i-1", "here");
    add_good_backend("i-2", "there");
    set(Table::SheetName::Routes, "keyed", {{"regions", "north,south"}});
    set(Table::SheetName::Workspaces, "ws", {{"regions", "north"}});
    start_with_drains();
    auto const keyed = request("GET", "/keyed/", std::string("Authorization: Bearer ") + s_key + "\r\n");
    for (int number = 0; number < s_request_count; ++number)
        EXPECT_EQ(answer_of(keyed).status, 200);
    EXPECT_EQ(here.count(), static_cast<std::size_t>(s_request_count));
}

TEST_F(DrainRules, WhatIsAllowedInNoRegionWithServersIsRefusedWithTheReason)
{
    auto const& here = add_good_backend("i-1", "here");
    set(Table::SheetName::Routes, "plain", {{"regions", "south"}});
    start_with_drains();
    auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("region"), std::string::npos) << answer.body;
    EXPECT_EQ(here.count(), 0U);
}

}
