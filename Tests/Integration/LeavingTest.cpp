// Promises: a backend server that is leaving receives no new work after a few seconds, and a planned stop
// cuts no request that is in flight.
#include "Callers.h"
#include "OddObjects.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

/// What is promised without the platform's help.
constexpr Core::Milliseconds s_leaving_limit {2'000};

class Leaving : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.add_class("clerk", {{"tier", "1"}, {"give-up", "10s"}});
        m_fleet.add_model_backend("llm-1", {4, 1000});
        m_fleet.add_model_backend("llm-2", {4, 1000});
        m_fleet.start(2);
    }

    CallRecord call(unsigned caller, unsigned number)
    {
        auto const tag = "c" + std::to_string(caller) + "n" + std::to_string(number);
        auto const tokens = 10 + number % 40;
        return {tag, tokens, m_fleet.complete("clerk", tag, tokens, true, caller % 2)};
    }

    std::size_t execution_count(std::string const& name) { return m_fleet.executions(m_fleet.backend(name)).size(); }

    /// Runs callers over a change, and checks that the first backend server gets nothing new once the limit
    /// is over, and that no caller notices.
    void expect_no_new_work_after(std::function<void()> const& leave)
    {
        Callers callers(6, [this](unsigned caller, unsigned number) { return call(caller, number); });
        ASSERT_TRUE(wait_until([&] { return execution_count("llm-1") > 10; }));
        leave();
        std::this_thread::sleep_for(s_leaving_limit);
        auto const count = execution_count("llm-1");
        auto const before = callers.done_count();
        ASSERT_TRUE(wait_until([&] { return callers.done_count() > before + 50; }));
        EXPECT_EQ(execution_count("llm-1"), count);
        expect_all_done(callers.stop());
    }

    static void expect_all_done(std::vector<CallRecord> const& records)
    {
        for (auto const& record : records) {
            EXPECT_EQ(record.answer.outcome(), "done") << record.answer.status << record.answer.body;
            EXPECT_EQ(record.answer.content(), expected_content(record.tag, record.tokens));
        }
    }

    Fleet m_fleet;
};

}

TEST_F(Leaving, ByTheOperatorsWordInTheTable)
{
    expect_no_new_work_after([this] { EXPECT_EQ(m_fleet.tool({"drain", "llm-1"}).exit_code, 0); });
}

TEST_F(Leaving, ByTheSideProcessesOwnWordWhileThePlatformIsDown)
{
    m_fleet.control_platform({{"outage", true}});
    expect_no_new_work_after([this] {
        EXPECT_EQ(send_request(m_fleet.backend("llm-1").side_operator_port, "POST", "/drain", "x").status, 200);
    });
}

TEST_F(Leaving, ByTheHostListWhichLags)
{
    auto const address = "127.0.0.1:" + std::to_string(m_fleet.backend("llm-1").link_proxy->port());
    expect_no_new_work_after([&] {
        // The entry that a backend server makes of itself in the platform's store.
        Json const entry {
            {"service", "llm"}, {"addr", address}, {"zone", "ba-hall-a"}, {"slots", 4}, {"state", "draining"}};
        // Another one on the same host stays.
        Json const other {
            {"service", "llm"}, {"addr", "127.0.0.1:1"}, {"zone", "ba-hall-a"}, {"slots", 4}, {"state", "ready"}};
        m_fleet.control_platform({{"puts",
            Json::array({{{"kind", "servers"}, {"name", "i-2"}, {"spec", other}},
                {{"kind", "servers"}, {"name", "i-1"}, {"spec", entry}}})}});
    });
}

TEST_F(Leaving, ByAHostListThatHoldsOddEntries)
{
    for (auto const& odd : odd_entries()) {
        m_fleet.control_platform(
            {{"puts", Json::array({{{"kind", "servers"}, {"name", odd.name}, {"spec-text", odd.spec}}})}});
    }
    auto const address = "127.0.0.1:" + std::to_string(m_fleet.backend("llm-1").link_proxy->port());
    expect_no_new_work_after([&] {
        Json const entry {
            {"service", "llm"}, {"addr", address}, {"zone", "ba-hall-a"}, {"slots", 4}, {"state", "draining"}};
        // Another one on the same host stays: a host whose only readable server leaves does so as a whole.
        Json const other {
            {"service", "llm"}, {"addr", "127.0.0.1:1"}, {"zone", "ba-hall-a"}, {"slots", 4}, {"state", "ready"}};
        m_fleet.control_platform({{"puts",
            Json::array({{{"kind", "servers"}, {"name", "i-2"}, {"spec", other}},
                {{"kind", "servers"}, {"name", "i-1"}, {"spec", entry}}})}});
    });
    EXPECT_TRUE(m_fleet.entry().process->is_running());
}

TEST_F(Leaving, APlannedStopOfASideProcessIsNoticedByNobody)
{
    Callers callers(6, [this](unsigned caller, unsigned number) { return call(caller, number); });
    for (auto const* name : {"llm-1", "llm-2", "llm-1"}) {
        auto const before = callers.done_count();
        ASSERT_TRUE(wait_until([&] { return callers.done_count() > before + 30; }));
        auto& backend = m_fleet.backend(name);
        backend.side->terminate();
        EXPECT_EQ(backend.side->wait(), 0);
        m_fleet.restart_side(backend);
        for (auto index : {0U, 1U})
            m_fleet.wait_until_ready(m_fleet.entry(index));
    }
    expect_all_done(callers.stop());
}

TEST_F(Leaving, QueuedWorkMovesWhenASideProcessStops)
{
    Callers callers(24, [this](unsigned caller, unsigned number) { return call(caller, number); });
    auto& backend = m_fleet.backend("llm-1");
    ASSERT_TRUE(wait_until([&] { return m_fleet.status(backend.side_operator_port)["waiting"] > 2; }));
    backend.side->terminate();
    EXPECT_EQ(backend.side->wait(), 0);
    auto const before = callers.done_count();
    ASSERT_TRUE(wait_until([&] { return callers.done_count() > before + 50; }));
    expect_all_done(callers.stop());
}

TEST_F(Leaving, APlannedStopOfAnEntryCutsNothing)
{
    // Callers of the entry that stops go to the other one as soon as it is not ready, as a balancer does.
    std::atomic<bool> is_ready {true};
    auto const port = m_fleet.entry(0).operator_port;
    Callers callers(8, [&](unsigned caller, unsigned number) {
        auto const tag = "c" + std::to_string(caller) + "n" + std::to_string(number);
        return CallRecord {tag, 40, m_fleet.complete("clerk", tag, 40, true, is_ready ? 0 : 1)};
    });
    ASSERT_TRUE(wait_until([&] { return callers.done_count() > 30; }));
    m_fleet.entry(0).process->terminate();
    ASSERT_TRUE(
        wait_until([&] { return send_request(port, "GET", "/readyz", "").status == 503; }, Core::Milliseconds(1000)));
    is_ready = false;
    EXPECT_EQ(m_fleet.entry(0).process->wait(), 0);
    auto const before = callers.done_count();
    ASSERT_TRUE(wait_until([&] { return callers.done_count() > before + 30; }));
    expect_all_done(callers.stop());
}

}
