// Promises: a higher tier never yields to a lower one, and no class starves.
#include "Callers.h"

#include <algorithm>
#include <future>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

Json const s_small_queue {{"queue", {{"limit", 6}}}};

bool was_executed(Json const& executions, std::string const& tag)
{
    return std::ranges::any_of(executions, [&](auto const& execution) { return execution["tag"] == tag; });
}

}

TEST(TierOrder, UrgentRequestsTakeThePlacesOfBulkOnesThroughSeveralEntries)
{
    Fleet fleet;
    fleet.add_class("pilot", {{"tier", "1"}, {"give-up", "60s"}});
    fleet.add_class("comparison", {{"tier", "6"}, {"give-up", "60s"}});
    auto& backend = fleet.add_model_backend("llm-1", {1, 5000}, s_small_queue);
    fleet.start(3);
    // Bulk work takes the slot and the whole queue.
    std::vector<std::future<CallRecord>> bulk;
    for (unsigned number = 0; number < 7; ++number) {
        bulk.push_back(std::async(std::launch::async, [&fleet, number] {
            auto const tag = "bulk" + std::to_string(number);
            return CallRecord {tag, 600, fleet.complete("comparison", tag, 600, true, number % 3)};
        }));
    }
    ASSERT_TRUE(wait_until([&] {
        auto const status = fleet.status(backend.side_operator_port);
        return status["waiting"] == 6 && status["running"] == 1;
    }));
    std::vector<std::future<CallRecord>> urgent;
    for (unsigned number = 0; number < 6; ++number) {
        urgent.push_back(std::async(std::launch::async, [&fleet, number] {
            auto const tag = "urgent" + std::to_string(number);
            return CallRecord {tag, 10, fleet.complete("pilot", tag, 10, true, number % 3)};
        }));
    }
    for (auto& future : urgent) {
        auto const record = future.get();
        EXPECT_EQ(record.answer.outcome(), "done") << record.answer.body;
        EXPECT_EQ(record.answer.content(), expected_content(record.tag, 10));
    }
    auto const executions = fleet.executions(backend);
    unsigned displaced = 0;
    for (auto& future : bulk) {
        auto const record = future.get();
        if (record.answer.status == 200)
            continue;
        ++displaced;
        EXPECT_EQ(record.answer.outcome(), "not-run");
        EXPECT_EQ(record.answer.json()["error"]["code"], "displaced");
        EXPECT_GE(std::stoi(record.answer.headers.at("retry-after")), 1);
        EXPECT_FALSE(was_executed(executions, record.tag));
    }
    EXPECT_EQ(displaced, 6U);
}

TEST(TierOrder, BulkWorkKeepsItsFloorInALongBurst)
{
    Fleet fleet;
    fleet.add_class("pilot", {{"tier", "1"}});
    fleet.add_class("comparison", {{"tier", "6"}, {"floor", "20"}});
    // Four slots, 20 ms for each request: 200 requests a second.
    auto& backend = fleet.add_model_backend("llm-1", {4, 2000}, s_small_queue);
    fleet.start(2);
    auto const call = [&fleet](char const* request_class, unsigned caller, unsigned number) {
        auto const tag = std::string(request_class) + std::to_string(caller) + "x" + std::to_string(number);
        return CallRecord {tag, 10, fleet.complete(request_class, tag, 10, true, caller % 2)};
    };
    // Twelve callers without a pause keep all slots and the queue full.
    Callers urgent(12, [&](unsigned caller, unsigned number) { return call("pilot", caller, number); });
    ASSERT_TRUE(wait_until([&] { return urgent.done_count() > 100; }));
    auto const urgent_before = urgent.done_count();
    Callers bulk(2, [&](unsigned caller, unsigned number) { return call("comparison", caller, number); });
    ASSERT_TRUE(wait_until([&] { return urgent.done_count() > urgent_before + 600; }, Core::Milliseconds(60'000)));
    auto const& bulk_records = bulk.stop();
    auto const bulk_done
        = std::ranges::count_if(bulk_records, [](auto const& record) { return record.answer.outcome() == "done"; });
    // A fifth of the slots is a quarter of what the urgent class gets; the callers' way round costs some.
    EXPECT_GE(bulk_done, 60) << "of " << bulk_records.size();
    EXPECT_GT(fleet.metric(backend.side_operator_port, "granitefield_side_starts_total", "floor"), 0);
    for (auto const& record : urgent.stop()) {
        // Slots and queue take ten; what is refused is refused for others of its own tier.
        bool const is_expected
            = record.answer.outcome() == "done" || record.answer.json()["error"]["code"] == "queue_full";
        EXPECT_TRUE(is_expected) << record.answer.body;
    }
}

TEST(TierOrder, ASuspendedAnswerGoesOnWholeWhereItStopped)
{
    Fleet fleet;
    fleet.add_class("pilot", {{"tier", "1"}, {"first-token", "50ms"}});
    fleet.add_class("comparison", {{"tier", "6"}});
    auto& backend = fleet.add_model_backend("llm-1", {2, 2000}, {{"backend-server", {{"can-resume", true}}}});
    fleet.start(2);
    std::vector<std::future<CallRecord>> bulk;
    for (unsigned number = 0; number < 2; ++number) {
        bulk.push_back(std::async(std::launch::async, [&fleet, number] {
            auto const tag = "bulk" + std::to_string(number);
            return CallRecord {tag, 1000, fleet.complete("comparison", tag, 1000, true, number)};
        }));
    }
    ASSERT_TRUE(wait_until([&] { return fleet.status(backend.side_operator_port)["running"] == 2; }));
    for (unsigned number = 0; number < 5; ++number) {
        auto const answer = fleet.complete("pilot", "pilot" + std::to_string(number), 10);
        EXPECT_EQ(answer.outcome(), "done") << answer.body;
        // Without a suspension the first pilot would wait two seconds for a slot.
        EXPECT_LT(answer.duration, Core::Milliseconds(1000));
    }
    for (auto& future : bulk) {
        auto const record = future.get();
        EXPECT_EQ(record.answer.outcome(), "done");
        EXPECT_EQ(record.answer.content(), expected_content(record.tag, record.tokens));
    }
    EXPECT_GT(fleet.metric(backend.side_operator_port, "granitefield_side_suspensions_total"), 0);
}

}
