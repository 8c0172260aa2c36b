// Promise: every caller receives the whole answer to its own request and nothing else.
#include "Callers.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

/// Checks one answer against what the engine's stand-in must have given for its tag. What is called done
/// is whole and its own; what is not is a clean beginning at most.
void check(CallRecord const& record)
{
    auto const& answer = record.answer;
    auto const expected = expected_content(record.tag, record.tokens);
    if (answer.outcome() == "done") {
        EXPECT_TRUE(answer.is_whole);
        EXPECT_EQ(answer.content(), expected);
        return;
    }
    if (answer.status == 200) {
        EXPECT_EQ(answer.outcome(), "cut") << answer.body;
        EXPECT_FALSE(answer.is_whole) << "a cut answer must not end as a whole one does";
        EXPECT_EQ(answer.body.find("data: [DONE]"), std::string::npos);
        EXPECT_TRUE(expected.starts_with(answer.content())) << answer.content();
        return;
    }
    EXPECT_TRUE(answer.outcome() == "not-run" || answer.outcome() == "unknown") << answer.status << answer.body;
}

class WholeAnswer : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.add_class("clerk", {{"tier", "1"}, {"give-up", "10s"}});
        m_fleet.add_model_backend("llm-1", {8, 1000});
        m_fleet.add_model_backend("llm-2", {8, 1000});
        m_fleet.start(2);
    }

    CallRecord call(unsigned caller, unsigned number)
    {
        auto const tag = "c" + std::to_string(caller) + "n" + std::to_string(number);
        auto const tokens = 5 + (caller * 7 + number * 13) % 60;
        bool const is_stream = number % 4 != 3;
        return {tag, tokens, m_fleet.complete("clerk", tag, tokens, is_stream, caller % 2)};
    }

    /// Runs callers while a fault happens again and again, and checks every answer.
    void run_with_fault(std::function<void(unsigned round)> const& make_fault, unsigned rounds)
    {
        Callers callers(16, [this](unsigned caller, unsigned number) { return call(caller, number); });
        for (unsigned round = 0; round < rounds; ++round) {
            auto const before = callers.done_count();
            ASSERT_TRUE(wait_until([&] { return callers.done_count() >= before + 20; }, Core::Milliseconds(60'000)));
            make_fault(round);
        }
        auto const before = callers.done_count();
        ASSERT_TRUE(wait_until([&] { return callers.done_count() >= before + 20; }, Core::Milliseconds(60'000)));
        auto const& records = callers.stop();
        for (auto const& record : records)
            check(record);
        m_done = static_cast<std::size_t>(
            std::ranges::count_if(records, [](auto const& record) { return record.answer.outcome() == "done"; }));
        m_total = records.size();
        std::map<std::string, unsigned> outcomes;
        for (auto const& record : records)
            ++outcomes[record.answer.outcome()];
        for (auto const& [outcome, count] : outcomes)
            std::cout << "outcome " << outcome << ": " << count << " of " << records.size() << '\n';
    }

    Fleet m_fleet;
    std::size_t m_done {0};
    std::size_t m_total {0};
};

}

TEST_F(WholeAnswer, WhenLinksAreReset)
{
    run_with_fault(
        [this](unsigned round) { m_fleet.backend(round % 2 == 0 ? "llm-1" : "llm-2").link_proxy->reset_connections(); },
        20);
    // A reset link costs nothing: the side process keeps the answer and the entry asks for the rest.
    EXPECT_EQ(m_done, m_total);
}

TEST_F(WholeAnswer, WhenTheEngineIsCutOff)
{
    run_with_fault(
        [this](
            unsigned round) { m_fleet.backend(round % 2 == 0 ? "llm-1" : "llm-2").engine_proxy->reset_connections(); },
        15);
    EXPECT_GT(m_done, m_total / 2);
}

TEST_F(WholeAnswer, WhenTheEngineBreaksOffItsAnswers)
{
    m_fleet.control_backend(m_fleet.backend("llm-1"), {{"break-after", 20}});
    run_with_fault([](unsigned) {}, 5);
    EXPECT_GT(m_done, m_total / 4);
}

TEST_F(WholeAnswer, WhenLinksAreFrozenAndLate)
{
    std::mt19937 random(20261202);
    run_with_fault(
        [&](unsigned round) {
            auto& proxy = *m_fleet.backend(round % 2 == 0 ? "llm-1" : "llm-2").link_proxy;
            proxy.set_delay(Core::Milliseconds(random() % 40));
            auto const mode = round % 3 == 0
                ? FaultProxy::Mode::Freeze
                : (round % 3 == 1 ? FaultProxy::Mode::FreezeAnswers : FaultProxy::Mode::FreezeRequests);
            proxy.set_mode(mode);
            // The failure lasts for a random time, sometimes longer than the entry's patience of one second.
            std::this_thread::sleep_for(Core::Milliseconds(100 + random() % 1500));
            proxy.set_mode(FaultProxy::Mode::Pass);
            if (round % 2 == 1)
                proxy.reset_connections();
        },
        6);
    EXPECT_GT(m_done, m_total / 2);
}

TEST_F(WholeAnswer, WhenASideProcessIsKilled)
{
    run_with_fault(
        [this](unsigned round) { m_fleet.restart_side(m_fleet.backend(round % 2 == 0 ? "llm-1" : "llm-2")); }, 5);
    EXPECT_GT(m_done, m_total / 2);
}

}
