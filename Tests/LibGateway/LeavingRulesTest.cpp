// Guards against requests to a server whose answers state that it is leaving while the store does not say so.
#include "GatewayFixture.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Testing {

namespace {

constexpr int s_request_count = 10;

std::string with_leaving_field(std::string message)
{
    message.insert(message.find("\r\n") + 2, "Granitefield-Leaving: 1\r\n");
    return message;
}

class LeavingRules : public GatewayFixture {
protected:
    FakeBackend& add_leaving_backend(std::string const& instance)
    {
        return add_backend(instance, [](auto& connection, auto const& text, auto) {
            connection.write(with_leaving_field(answer_to(text, 200, "fine")));
        });
    }

    [[nodiscard]] int send() const { return answer_of(request("GET", "/safe/")).status; }
};

}

TEST_F(LeavingRules, SendsNothingToALeavingServer)
{
    auto const& last = add_leaving_backend("i-1");
    start();
    EXPECT_EQ(send(), 200);
    for (int number = 0; number < s_request_count; ++number)
        EXPECT_EQ(send(), 503);
    EXPECT_EQ(last.count(), 1U);
}

TEST_F(LeavingRules, RemembersTheStatementWhileTheServerIsNotListed)
{
    auto const& last = add_leaving_backend("i-1");
    add_backend(
        "i-2", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    start();
    while (last.count() == 0)
        ASSERT_EQ(send(), 200);
    auto const with_both = m_servers_list.servers;
    m_servers_list.servers = {with_both.back()};
    // The gateway keeps its view of a server until the requests that went there are forgotten.
    while (nlohmann::json::parse(m_gateway->status())["backend-servers"].size() != 1) {
        publish_servers();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    m_servers_list.servers = {with_both.front()};
    publish_servers();
    for (int number = 0; number < s_request_count; ++number)
        EXPECT_EQ(send(), 503);
    EXPECT_EQ(last.count(), 1U);
}

TEST_F(LeavingRules, UsesTheNextRunAtTheAddress)
{
    add_leaving_backend("i-1");
    start();
    EXPECT_EQ(send(), 200);
    EXPECT_EQ(send(), 503);
    m_servers_list.servers.front().instance = "i-1-next";
    publish_servers();
    EXPECT_EQ(send(), 200);
}

TEST_F(LeavingRules, FinishesStreamsOfALeavingServer)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) {
        connection.write(with_leaving_field(stream_head_to(text)));
        connection.write(chunk(event(1)));
        connection.write(chunk(event(2)));
        connection.write("0\r\n\r\n");
    });
    start();
    auto const answer = answer_of(request("POST", "/stream/", "", "x"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2));
}

TEST_F(LeavingRules, RetriesElsewhereAfterARejection)
{
    auto const& last = add_backend("i-1",
        [](auto& connection, auto const& text, auto) { connection.write(with_leaving_field(refusal_to(text, 503))); });
    add_backend(
        "i-2", [](auto& connection, auto const& text, auto) { connection.write(answer_to(text, 200, "fine")); });
    start();
    for (int number = 0; number < s_request_count; ++number)
        EXPECT_EQ(send(), 200);
    EXPECT_LE(last.count(), 1U);
}

TEST_F(LeavingRules, IgnoresStatementsOfAnotherServerAtTheAddress)
{
    auto const& misdirected = add_backend("i-1",
        [](auto& connection, auto const& text, auto) { connection.write(with_leaving_field(refusal_to(text, 421))); });
    start();
    EXPECT_EQ(send(), 503);
    EXPECT_EQ(send(), 503);
    EXPECT_EQ(misdirected.count(), 2U);
}

}
