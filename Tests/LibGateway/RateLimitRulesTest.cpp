// Guards against exceeding a stated rate limit, with a single gateway that has the whole limit.
#include "GatewayFixture.h"

#include <atomic>
#include <optional>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class RateLimitRules : public GatewayFixture {
protected:
    FakeBackend& add_limited_backend(std::string const& instance)
    {
        return add_backend(instance, [this](auto& connection, auto const& text, auto) {
            connection.write(with_limit(answer_to(text, 200, "fine")));
        });
    }

    FakeBackend& add_good_backend(std::string const& instance)
    {
        return add_backend(
            instance, [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    }

    void start_alone()
    {
        m_membership.set_load_members({});
        m_membership.is_discovery_complete = true;
        start();
        auto const knows_that_it_is_alone = [this] {
            auto const status = nlohmann::json::parse(m_gateway->status());
            return status.contains("known-gateways") && status["known-gateways"] == 0;
        };
        while (!knows_that_it_is_alone())
            std::this_thread::sleep_for(10ms);
    }

    [[nodiscard]] int ask() const { return answer_of(request("GET", "/safe/")).status; }

    /// Requests per second; below 0 the server states nothing.
    std::atomic<double> m_rate {-1};

private:
    [[nodiscard]] std::string with_limit(std::string answer) const
    {
        double const rate = m_rate;
        if (rate >= 0)
            answer.insert(answer.find("\r\n") + 2, Core::concat("Granitefield-Rate-Limit: ", rate, "\r\n"));
        return answer;
    }
};

}

TEST_F(RateLimitRules, LimitsTheRequestsToAServer)
{
    auto const& limited = add_limited_backend("i-1");
    auto const& other = add_good_backend("i-2");
    start_alone();
    while (limited.count() == 0)
        ASSERT_EQ(ask(), 200);
    m_rate = 0.2;
    while (limited.count() < 2)
        ASSERT_EQ(ask(), 200);
    auto const before = other.count();
    for (int number = 0; number < 30; ++number)
        EXPECT_EQ(ask(), 200);
    EXPECT_LE(limited.count(), 3U);
    EXPECT_GE(other.count(), before + 29);
}

TEST_F(RateLimitRules, SendsNothingToALimitedServerBeforeTheMembershipIsKnown)
{
    auto const& limited = add_limited_backend("i-1");
    start();
    m_rate = 50;
    ASSERT_EQ(ask(), 200);
    auto const answer = answer_of(request("GET", "/safe/"));
    EXPECT_EQ(answer.status, 503);
    // Another gateway may know them.
    EXPECT_LE(std::stod(field_of(answer.head, "Retry-After").value_or("9")), 2);
    EXPECT_EQ(limited.count(), 1U);
}

TEST_F(RateLimitRules, PassesTheLimitOnToTheCaller)
{
    add_limited_backend("i-1");
    start_alone();
    m_rate = 7.5;
    EXPECT_EQ(field_of(answer_of(request("GET", "/safe/")).head, "Granitefield-Rate-Limit"), "7.5");
}

TEST_F(RateLimitRules, RejectsAtOnceWhenTheOnlyServerIsAtItsLimit)
{
    auto const& limited = add_limited_backend("i-1");
    start_alone();
    m_rate = 0.25;
    ASSERT_EQ(ask(), 200);
    // The share of the time since the limit was stated.
    ASSERT_EQ(ask(), 200);
    auto const begun = Core::monotonic_now();
    auto const answer = answer_of(request("GET", "/safe/"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("servers_limited"), std::string::npos) << answer.body;
    EXPECT_LT(Core::elapsed(begun, Core::monotonic_now()), 125ms);
    // Four seconds for each request, and up to one more by the request's rank.
    auto const retry_after = std::stod(field_of(answer.head, "Retry-After").value_or("0"));
    EXPECT_GE(retry_after, 3);
    EXPECT_LE(retry_after, 5);
    EXPECT_EQ(limited.count(), 2U);
}

TEST_F(RateLimitRules, UsesAServerAgainOnceItStatesNoLimit)
{
    auto const& limited = add_limited_backend("i-1");
    start_alone();
    m_rate = 2;
    ASSERT_EQ(ask(), 200);
    ASSERT_EQ(ask(), 200);
    EXPECT_EQ(ask(), 503);
    m_rate = -1;
    std::this_thread::sleep_for(600ms);
    for (int number = 0; number < 10; ++number)
        EXPECT_EQ(ask(), 200);
    EXPECT_EQ(limited.count(), 12U);
}

TEST_F(RateLimitRules, DoesNotEndALimitForARejection)
{
    std::atomic<bool> rejects {false};
    auto const& limited = add_backend("i-1", [&rejects](auto& connection, auto const& text, auto) {
        auto answer = answer_to(text, 200, "fine");
        answer.insert(answer.find("\r\n") + 2, "Granitefield-Rate-Limit: 2\r\n");
        connection.write(rejects ? refusal_to(text, 503) : answer);
    });
    start_alone();
    ASSERT_EQ(ask(), 200);
    rejects = true;
    while (limited.count() < 2)
        EXPECT_EQ(ask(), 503);
    auto const status = nlohmann::json::parse(m_gateway->status());
    EXPECT_EQ(status["backend-servers"][0]["rate-limit"], 2);
}

TEST_F(RateLimitRules, RechecksALimitedServerAlthoughOthersArePreferred)
{
    auto const& limited = add_limited_backend("i-1");
    add_good_backend("i-2");
    start_alone();
    m_rate = 1;
    while (limited.count() == 0)
        ASSERT_EQ(ask(), 200);
    m_rate = -1;
    auto const before = limited.count();
    std::this_thread::sleep_for(Gateway::BackendFleet::s_recheck_interval * 2);
    EXPECT_EQ(ask(), 200);
    EXPECT_EQ(limited.count(), before + 1);
}

TEST_F(RateLimitRules, IgnoresStatementsOfAnotherServerAtTheAddress)
{
    auto const& misdirected = add_backend("i-1", [](auto& connection, auto const& text, auto) {
        auto answer = refusal_to(text, 421);
        answer.insert(answer.find("\r\n") + 2, "Granitefield-Rate-Limit: 0.1\r\n");
        connection.write(answer);
    });
    start_alone();
    for (int number = 0; number < 5; ++number)
        EXPECT_EQ(ask(), 503);
    EXPECT_EQ(misdirected.count(), 5U);
}

TEST_F(RateLimitRules, IgnoresMalformedLimits)
{
    for (auto const* const text : {"", "much", "-1", "nan", "inf", "1e999"}) {
        HTTP::AnswerHead head {200, {}};
        head.fields.add("Granitefield-Rate-Limit", text);
        EXPECT_EQ(Gateway::read_signals(head, {}), Gateway::ServerSignals()) << text;
    }
    HTTP::AnswerHead head {200, {}};
    head.fields.add("granitefield-rate-limit", "0.50");
    EXPECT_EQ(Gateway::read_signals(head, {}).rate_limit, 0.5);
}

}
