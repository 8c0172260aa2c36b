// Checks that a server gets no requests during its Retry-After, and is avoided no longer than that.
#include "GatewayFixture.h"

#include <atomic>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

constexpr int s_request_count = 20;

class BackoffRules : public GatewayFixture {
protected:
    /// Adds a server that rejects requests with this Retry-After while `m_rejects` is set.
    FakeBackend& add_rejecting_backend(std::string const& instance, std::string const& retry_after)
    {
        return add_backend(instance, [this, retry_after](auto& connection, auto const& text, auto) {
            if (!m_rejects)
                return connection.write(answer_to(text, 200, "fine"));
            auto answer = refusal_to(text, 503);
            answer.insert(answer.find("\r\n") + 2, Core::concat("Retry-After: ", retry_after, "\r\n"));
            connection.write(answer);
        });
    }

    FakeBackend& add_good_backend(std::string const& instance)
    {
        return add_backend(
            instance, [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    }

    [[nodiscard]] RawCaller::Answer send_request() const { return answer_of(request("GET", "/safe/")); }
    [[nodiscard]] static double retry_after_of(RawCaller::Answer const& answer)
    {
        return std::stod(field_of(answer.head, "Retry-After").value_or("-1"));
    }

    std::atomic<bool> m_rejects {true};
};

}

TEST_F(BackoffRules, SendsNothingDuringABackoff)
{
    auto const& rejecting = add_rejecting_backend("i-1", "30");
    auto const& other = add_good_backend("i-2");
    start();
    while (rejecting.count() == 0)
        ASSERT_EQ(send_request().status, 200);
    auto const before = other.count();
    for (int number = 0; number < s_request_count; ++number)
        EXPECT_EQ(send_request().status, 200);
    EXPECT_EQ(rejecting.count(), 1U);
    EXPECT_EQ(other.count(), before + s_request_count);
}

TEST_F(BackoffRules, SendsRetryAfterOfTheFirstBackoffToEnd)
{
    auto const& first = add_rejecting_backend("i-1", "30.5");
    auto const& second = add_rejecting_backend("i-2", "60");
    start();
    while (first.count() == 0 || second.count() == 0)
        EXPECT_EQ(send_request().status, 503);
    auto const started_at = Core::monotonic_now();
    auto const answer = send_request();
    EXPECT_EQ(answer.status, 503);
    EXPECT_LT(Core::elapsed(started_at, Core::monotonic_now()), 125ms);
    EXPECT_GE(retry_after_of(answer), 29);
    // Rounded up to whole seconds, plus up to one second by the request's priority.
    EXPECT_LE(retry_after_of(answer), 32);
    EXPECT_EQ(first.count() + second.count(), 2U);
}

TEST_F(BackoffRules, SendsRetryAfterOfTheBackoffToTheRejectedCaller)
{
    // The only attempt is the one that the server rejects.
    set(Table::SheetName::Routes, "safe", {{"tries", "1"}});
    add_rejecting_backend("i-1", "30");
    start();
    auto const answer = send_request();
    EXPECT_EQ(answer.status, 503);
    EXPECT_GE(retry_after_of(answer), 29);
    EXPECT_LE(retry_after_of(answer), 31);
}

TEST_F(BackoffRules, WaitsForTheEndOfAShortBackoff)
{
    auto const& rejecting = add_rejecting_backend("i-1", "0.2");
    start();
    EXPECT_EQ(send_request().status, 503);
    m_rejects = false;
    auto const started_at = Core::monotonic_now();
    // A request may wait for a quarter of its class's target of one second.
    EXPECT_EQ(send_request().status, 200);
    EXPECT_GE(Core::elapsed(started_at, Core::monotonic_now()), 150ms);
    EXPECT_EQ(rejecting.count(), 2U);
}

TEST_F(BackoffRules, ProbesWithOneRequestAfterABackoff)
{
    auto const& rejecting = add_rejecting_backend("i-1", "0.2");
    start();
    EXPECT_EQ(send_request().status, 503);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int number = 0; number < s_request_count; ++number)
        callers.push_back(call(request("GET", "/safe/")));
    for (auto const& caller : callers)
        EXPECT_EQ(caller->read_answer().status, 503);
    EXPECT_EQ(rejecting.count(), 2U);
}

TEST_F(BackoffRules, SendsTheMostUrgentWaitingRequestFirst)
{
    // Long enough for both requests to wait.
    for (auto const* name : {"safe", "keyed"})
        set(Table::SheetName::Classes, name, {{"first-token", "4s"}});
    auto const& rejecting = add_rejecting_backend("i-1", "0.2");
    start();
    EXPECT_EQ(send_request().status, 503);
    m_rejects = false;
    auto const ordinary = call(request("GET", "/safe/"));
    auto const urgent = call(request("GET", "/keyed/", std::string("Authorization: Bearer ") + s_key + "\r\n"));
    EXPECT_EQ(ordinary->read_answer().status, 200);
    EXPECT_EQ(urgent->read_answer().status, 200);
    ASSERT_EQ(rejecting.count(), 3U);
    EXPECT_NE(rejecting.requests()[1].find("/keyed/"), std::string::npos);
}

TEST_F(BackoffRules, DoesNotCountABackoffAsFailure)
{
    add_rejecting_backend("i-1", "0.05");
    start();
    for (int number = 0; number < s_request_count; ++number)
        static_cast<void>(send_request());
    auto const status = nlohmann::json::parse(m_gateway->status());
    EXPECT_EQ(status["backend-servers"][0]["failure-rate"], 0);
    EXPECT_EQ(status["backend-servers"][0]["avoided"], false);
}

TEST_F(BackoffRules, ReadsRetryAfterOf503Only)
{
    HTTP::AnswerHead head {503, {}};
    head.fields.add("Retry-After", "1.7");
    EXPECT_EQ(Gateway::read_signals(head, {}).retry_after, 1'700ms);
    head.status = 429;
    EXPECT_FALSE(Gateway::read_signals(head, {}).retry_after);
    head.status = 200;
    EXPECT_FALSE(Gateway::read_signals(head, {}).retry_after);
    for (auto const* const text : {"", "soon", "-1", "nan", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        HTTP::AnswerHead malformed {503, {}};
        malformed.fields.add("Retry-After", text);
        EXPECT_FALSE(Gateway::read_signals(malformed, {}).retry_after) << text;
    }
}

}
