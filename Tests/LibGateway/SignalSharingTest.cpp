// Tests the exchange of server signals among gateways in simulated time: a limit that one gateway received applies to
// all of them.
#include "LoadFleet.h"
#include "RateLimitJudge.h"

#include <LibGateway/SignalSharing.h>

#include <cmath>
#include <limits>
#include <optional>

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

namespace {

constexpr char const* s_limited = "i-0";
constexpr Core::Milliseconds s_answer_time {40};

class RateLimitFleet : public LoadFleet {
protected:
    static constexpr std::size_t s_gateways = 300;

    RateLimitFleet()
        : LoadFleet(s_gateways)
    {
        m_table.set_version(Core::TableVersion(1));
        m_call.route = &m_route;
        m_call.request_class = &m_class;
        m_call.service = "svc";
        m_class.first_token_target = 500ms;
    }

    /// Advances the time while callers send that many requests per second in all, each to a random gateway.
    void advance_with_requests(Core::Milliseconds duration, double per_second)
    {
        std::uniform_int_distribution<std::size_t> any_gateway(0, s_gateways - 1);
        std::poisson_distribution<int> requests(per_second * std::chrono::duration<double>(s_step).count());
        for (auto const end = m_now + duration; m_now < end;) {
            for (int count = requests(m_generator); count > 0; --count)
                send(any_gateway(m_generator));
            answer();
            advance(s_step);
        }
    }

    void state_limit(std::optional<double> rate)
    {
        m_rate = rate;
        m_judge.note_stated(s_limited, rate, m_now);
    }

    /// Returns the number of gateways that apply a limit to the server.
    [[nodiscard]] std::size_t gateways_with_limit()
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_nodes,
            [&](auto const& node) { return node->fleet.rate_limit_of(view(*node, s_limited).id()).has_value(); }));
    }

    Testing::RateLimitJudge m_judge;
    std::size_t m_refused {0};

private:
    struct Answer {
        Core::MonotonicTime time;
        Core::MonotonicTime sent;
        Node* node;
        std::shared_ptr<BackendView> server;
        ServerLoad load;
        ServerSignals signals;
    };

    void send(std::size_t number)
    {
        auto& node = *m_nodes[number];
        if (!node.is_alive)
            return;
        m_call.received = m_now;
        m_call.deadline = m_now + 2s;
        auto const choice = node.fleet.choose(m_call, {}, m_now);
        if (!choice.server) {
            ++m_refused;
            return;
        }
        node.fleet.note_sent(*choice.server, m_now);
        Answer answer {m_now + s_answer_time, m_now, &node, choice.server, {1, 0, 0}, {}};
        choice.server->begin_attempt(answer.load);
        if (choice.server->record().instance == s_limited) {
            answer.signals.rate_limit = m_rate;
            m_judge.note_arrival(s_limited, node.address, m_now);
        }
        m_answers.push_back(std::move(answer));
    }

    void answer()
    {
        auto const is_open = [&](auto const& answer) { return answer.time > m_now; };
        auto const first_due = std::partition(m_answers.begin(), m_answers.end(), is_open);
        for (auto due = first_due; due != m_answers.end(); ++due) {
            auto& answer = *due;
            answer.server->end_attempt(answer.load);
            answer.server->note_latency(s_answer_time);
            if (!answer.node->is_alive)
                continue;
            answer.node->fleet.note_signals(*answer.server, answer.signals, answer.sent, m_now);
            if (answer.signals.rate_limit)
                m_judge.note_passed_on(s_limited, answer.node->address, m_now);
        }
        m_answers.erase(first_due, m_answers.end());
    }

    Table::Table m_table;
    Table::Route m_route;
    Table::RequestClass m_class;
    RoutedRequest m_call;
    std::optional<double> m_rate;
    std::vector<Answer> m_answers;
};

}

TEST_F(RateLimitFleet, KeepsALimitThatOneGatewayReceived)
{
    m_loss = 0.02;
    advance_with_requests(1s, 600);
    state_limit(0.5);
    advance_with_requests(15s, 600);
    for (auto const& finding : m_judge.findings())
        ADD_FAILURE() << finding;
    EXPECT_GT(m_judge.counted(), 0U);
    EXPECT_EQ(m_refused, 0U);
    EXPECT_EQ(gateways_with_limit(), s_gateways);
}

TEST_F(RateLimitFleet, FindsTheEndOfALimit)
{
    advance_with_requests(1s, 600);
    state_limit(1);
    advance_with_requests(5s, 600);
    ASSERT_EQ(gateways_with_limit(), s_gateways);
    state_limit(std::nullopt);
    // At most two rechecks and the propagation of a report.
    advance_with_requests(BackendFleet::s_recheck_interval * 2 + s_max_propagation_time + 1s, 600);
    EXPECT_EQ(gateways_with_limit(), 0U);
}

// The age in a report does not include the time that it waits at a busy gateway.
TEST_F(RateLimitFleet, CorrectsAGatewayWithADelayedReport)
{
    advance_with_requests(1s, 600);
    state_limit(1);
    advance_with_requests(3s, 600);
    auto const server = view(node(7), s_limited).id();
    auto const late = Policy::RateLimitFact::limited(1, m_now + 2'500ms);
    node(7).fleet.rate_limits().apply({server, late}, Policy::Relaying::No, m_now);
    state_limit(std::nullopt);
    advance_with_requests(Policy::RateLimitFacts::s_refresh_interval + BackendFleet::s_recheck_interval * 2 + 1s, 600);
    EXPECT_EQ(gateways_with_limit(), 0U);
}

TEST_F(RateLimitFleet, ReportsALimitToANewGateway)
{
    advance_with_requests(1s, 600);
    state_limit(1);
    advance_with_requests(2s, 600);
    auto& restarted = m_nodes[7];
    restarted->is_alive = false;
    advance_with_requests(1s, 600);
    restarted = make_node(7);
    connect_all();
    advance_with_requests(3s, 600);
    EXPECT_TRUE(node(7).fleet.rate_limit_of(view(node(7), s_limited).id()));
}

TEST(SignalSharing, RejectsInvalidRates)
{
    SignalSharing::Message message;
    message.add_rate_limits()->set_rate(1);
    EXPECT_TRUE(SignalSharing::is_within_bounds(message));
    message.add_rate_limits()->set_rate(-1);
    EXPECT_FALSE(SignalSharing::is_within_bounds(message));
    message.mutable_rate_limits(1)->set_rate(std::numeric_limits<double>::quiet_NaN());
    EXPECT_FALSE(SignalSharing::is_within_bounds(message));
}

TEST_F(LoadFleet, CarriesARateLimitUnchanged)
{
    auto fact = Policy::RateLimitFact::limited(0.5, m_now - 300ms);
    fact.merge(Policy::RateLimitFact::unlimited(m_now - 900ms));
    auto const server = view(node(0), "i-3").id();
    node(0).fleet.rate_limits().note(server, fact, m_now);
    SignalSharing::Message message;
    SignalSharing(node(0).fleet).fill(message, m_now);
    SignalSharing(node(1).fleet).receive(message, Policy::Relaying::No, m_now);
    ASSERT_NE(node(1).fleet.rate_limits().find(server), nullptr);
    EXPECT_EQ(*node(1).fleet.rate_limits().find(server), fact);
}

TEST_F(LoadFleet, ReportsALeavingServerToAllGateways)
{
    m_loss = 0.02;
    auto& receiver = node(5);
    ServerSignals leaving;
    leaving.is_leaving = true;
    receiver.fleet.note_signals(view(receiver, "i-3"), leaving, m_now, m_now);
    advance(s_max_propagation_time + Policy::LeavingFacts::s_repetition_interval * 2);
    for (auto const& node : m_nodes)
        EXPECT_FALSE(view(*node, "i-3").accepts_new_requests()) << node->address;
}

}
