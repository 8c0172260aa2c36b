// The complete path: a request served end to end by separate processes.
#include "Fleet.h"

#include <LibCore/Text.h>
#include <LibHTTP/HttpServer.h>

#include <mutex>
#include <set>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

void fill(Fleet& fleet)
{
    fleet.add_class("clerk", {{"tier", "1"}, {"first-token", "500ms"}});
    fleet.add_class("fraud-note", {{"tier", "4"}, {"first-token", "5s"}});
}

}

TEST(ServePath, StreamsACompletionWholeWithItsOutcome)
{
    Fleet fleet;
    fill(fleet);
    fleet.add_model_backend("llm-1");
    fleet.start();
    auto const answer = fleet.complete("clerk", "a", 50);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.content(), expected_content("a", 50));
    EXPECT_EQ(answer.outcome(), "done");
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
    EXPECT_EQ(answer.headers.at("granitefield-request").size(), 32U);
}

TEST(ServePath, GivesACompletionInOnePiece)
{
    Fleet fleet;
    fill(fleet);
    fleet.add_model_backend("llm-1");
    fleet.start();
    auto const answer = fleet.complete("fraud-note", "b", 20, false);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.outcome(), "done");
    EXPECT_EQ(answer.content(), expected_content("b", 20));
}

TEST(ServePath, CallsAPlainServiceOnce)
{
    Fleet fleet;
    fill(fleet);
    auto& backend = fleet.add_plain_backend("pay-1");
    fleet.start();
    auto const answer = fleet.call_service("/confirm?x=1", "payment-7", {{"Granitefield-Class", "clerk"}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.outcome(), "done");
    EXPECT_EQ(answer.json()["path"], "/confirm");
    EXPECT_EQ(fleet.executions(backend)["payment-7"], 1);
}

TEST(ServePath, ExplainsAndReports)
{
    Fleet fleet;
    fill(fleet);
    auto& backend = fleet.add_model_backend("llm-1");
    fleet.start();
    auto const answer = fleet.complete("clerk", "a", 5);
    auto const daemons
        = std::vector<std::string> {"--daemon", "127.0.0.1:" + std::to_string(fleet.entry().operator_port), "--daemon",
            "127.0.0.1:" + std::to_string(backend.side_operator_port)};
    auto explain = daemons;
    explain.insert(explain.end(), {"explain", answer.headers.at("granitefield-request")});
    auto const explained = fleet.tool(explain);
    EXPECT_EQ(explained.exit_code, 0);
    EXPECT_NE(explained.output.find("sent attempt 1 to llm-1"), std::string::npos) << explained.output;
    EXPECT_NE(explained.output.find("by the order of tiers and deadlines"), std::string::npos) << explained.output;
    // The side process says what it runs every 100 ms.
    ASSERT_TRUE(wait_until([&] { return fleet.status(backend.side_operator_port)["running"] == 0; }));
    auto status = daemons;
    status.emplace_back("status");
    EXPECT_NE(fleet.tool(status).output.find("0 of 4 slots taken"), std::string::npos);
    EXPECT_EQ(fleet.metric(fleet.entry().operator_port, "granitefield_entry_outcomes_total", "outcome=\"done\""), 1);
}

TEST(ServePath, RecordsASpanForEachHopInTheCallersTrace)
{
    std::mutex mutex;
    std::set<std::string> names;
    auto const* trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
    HTTP::HttpServer const collector(
        *Core::Address::from_string("127.0.0.1:0"), [&](HTTP::ServerRequest const& request) {
            auto const json = Json::parse(request.body);
            std::lock_guard const lock(mutex);
            for (auto const& span : json["resourceSpans"][0]["scopeSpans"][0]["spans"]) {
                if (span["traceId"] == trace_id)
                    names.insert(span["name"]);
            }
            return HTTP::ServerResponse {200, "application/json", {}, "{}"};
        });
    Json const tracing {{"trace-collector", Core::concat("127.0.0.1:", collector.port())}};
    Fleet fleet;
    fill(fleet);
    fleet.add_model_backend("llm-1", {}, tracing);
    fleet.start(1, tracing);
    auto const answer = fleet.complete("clerk", "a", 5, true, 0,
        {{"traceparent", Core::concat("00-", std::string(trace_id), "-00f067aa0ba902b7-01")}});
    EXPECT_EQ(answer.outcome(), "done");
    EXPECT_TRUE(wait_until([&] {
        std::lock_guard const lock(mutex);
        return names == std::set<std::string> {"entry", "side queue", "engine"};
    }));
}

TEST(ServePath, AWorkspacesLimitsAreNamedAndSayWhenToComeBack)
{
    Fleet fleet;
    fill(fleet);
    fleet.add_workspace("small", "small-key", {{"requests-per-second", "1"}});
    fleet.add_model_backend("llm-1");
    fleet.start();
    auto const ask = [&] {
        return send_request(fleet.entry().caller_port, "POST", "/v1/chat/completions",
            R"({"model": "test-model", "messages": [{"role": "user", "content": "tag=a tokens=2"}]})",
            {"Authorization: Bearer small-key", "Granitefield-Class: clerk"});
    };
    EXPECT_EQ(ask().status, 200);
    auto const refused = ask();
    EXPECT_EQ(refused.status, 429);
    EXPECT_EQ(refused.json()["error"]["code"], "limit_requests-per-second");
    EXPECT_EQ(refused.outcome(), "not-run");
    std::this_thread::sleep_for(Core::Milliseconds(refused.json()["error"]["retry_after_ms"].get<int>()));
    EXPECT_EQ(ask().status, 200);
}

}
