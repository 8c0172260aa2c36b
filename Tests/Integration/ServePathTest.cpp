// The complete path: a request served end to end by separate processes.
#include "Fleet.h"

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
    auto status = daemons;
    status.emplace_back("status");
    EXPECT_NE(fleet.tool(status).output.find("0 of 4 slots taken"), std::string::npos);
    EXPECT_EQ(fleet.metric(fleet.entry().operator_port, "granitefield_entry_outcomes_total", "outcome=\"done\""), 1);
}

}
