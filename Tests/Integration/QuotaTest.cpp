// A workspace's rates hold over all entries together.
#include "Callers.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

constexpr double s_rate = 60;

}

TEST(Quota, ARateHoldsOverAllEntriesTogether)
{
    Fleet fleet;
    fleet.add_class("clerk", {{"tier", "1"}});
    fleet.add_workspace("limited", "limited-key", {{"requests-per-second", std::to_string(static_cast<int>(s_rate))}});
    fleet.add_model_backend("llm-1", {16, 500});
    fleet.start(3);
    auto const known
        = [&](std::size_t entry) { return fleet.status(fleet.entry(entry).operator_port)["entries"] == 3; };
    ASSERT_TRUE(wait_until([&] { return known(0) && known(1) && known(2); }));
    auto const call = [&fleet](unsigned caller, unsigned) {
        Json const body {
            {"model", "test-model"}, {"messages", Json::array({{{"role", "user"}, {"content", "tag=q tokens=1"}}})}};
        return CallRecord {"q", 1,
            send_request(fleet.entry(caller % 3).caller_port, "POST", "/v1/chat/completions", body.dump(),
                {"Authorization: Bearer limited-key", "Granitefield-Class: clerk"})};
    };
    auto const start = std::chrono::steady_clock::now();
    Callers callers(9, call);
    ASSERT_TRUE(wait_until([&] { return callers.done_count() > 4 * s_rate; }));
    auto const& records = callers.stop();
    auto const seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    auto const done
        = std::ranges::count_if(records, [](auto const& record) { return record.answer.outcome() == "done"; });
    // The rate, and one second of it at once.
    EXPECT_LE(static_cast<double>(done), s_rate * (seconds + 1) + 3);
    EXPECT_GE(static_cast<double>(done), 0.8 * s_rate * seconds);
    for (auto const& record : records) {
        if (record.answer.status != 200) {
            EXPECT_EQ(record.answer.json()["error"]["code"], "limit_requests-per-second");
        }
    }
}

}
