// Promises: "not-run" is true, and what may not be repeated runs at most once. The backend servers' own
// logs of executions are the witness.
#include "Callers.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

Json const s_class_header {{"Granitefield-Class", "payment"}};

class AtMostOnce : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.add_class("payment", {{"tier", "1"}, {"give-up", "3s"}});
        m_fleet.add_plain_backend("pay-1", 4);
        m_fleet.add_plain_backend("pay-2", 4);
        m_fleet.start(2);
        for (auto const* name : {"pay-1", "pay-2"})
            m_fleet.control_backend(m_fleet.backend(name), {{"delay-ms", 20}});
    }

    CallRecord call(unsigned caller, unsigned number)
    {
        auto const tag = "p" + std::to_string(caller) + "n" + std::to_string(number);
        return {tag, 0, m_fleet.call_service("/confirm", tag, s_class_header, caller % 2)};
    }

    /// Calls with a ticket, and repeats with it through the other entry until there is a final word.
    CallRecord call_with_ticket(unsigned caller, unsigned number)
    {
        auto const tag = "t" + std::to_string(caller) + "n" + std::to_string(number);
        auto const ticket_answer = send_request(m_fleet.entry(caller % 2).caller_port, "POST", "/v1/tickets",
            Json {{"service", "pay"}}.dump(), {"Authorization: Bearer " + std::string(Fleet::s_key)});
        if (ticket_answer.status != 200)
            return {tag, 0, ticket_answer};
        auto headers = s_class_header;
        headers["Idempotency-Key"] = ticket_answer.json()["ticket"].get<std::string>();
        CallRecord record {tag, 0, {}};
        for (unsigned repeat = 0; repeat < 4; ++repeat)
            record.answer = m_fleet.call_service("/confirm", tag, headers, (caller + repeat) % 2);
        return record;
    }

    std::map<std::string, unsigned> all_executions()
    {
        std::map<std::string, unsigned> counts;
        for (auto const* name : {"pay-1", "pay-2"}) {
            auto const executions = m_fleet.executions(m_fleet.backend(name));
            for (auto const& [tag, count] : executions.items())
                counts[tag] += count.get<unsigned>();
        }
        return counts;
    }

    void run_with_fault(
        Callers::Call const& call, std::function<void(unsigned round)> const& make_fault, unsigned rounds)
    {
        Callers callers(8, call);
        for (unsigned round = 0; round < rounds; ++round) {
            auto const before = callers.done_count();
            ASSERT_TRUE(wait_until([&] { return callers.done_count() >= before + 10; }, Core::Milliseconds(60'000)));
            make_fault(round);
        }
        auto const before = callers.done_count();
        ASSERT_TRUE(wait_until([&] { return callers.done_count() >= before + 10; }, Core::Milliseconds(60'000)));
        auto const records = callers.stop();
        // What is still on its way somewhere may yet execute; a second of quiet shows that nothing does.
        auto counts = all_executions();
        ASSERT_TRUE(wait_until([&] {
            std::this_thread::sleep_for(Core::Milliseconds(1000));
            return std::exchange(counts, all_executions()) == counts;
        }));
        check(records, counts);
    }

    void check(std::vector<CallRecord> const& records, std::map<std::string, unsigned> const& counts)
    {
        for (auto const& [tag, count] : counts)
            EXPECT_EQ(count, 1U) << tag << " ran more than once";
        std::map<std::string, unsigned> outcomes;
        for (auto const& record : records) {
            auto const outcome = record.answer.outcome();
            ++outcomes[outcome];
            if (outcome == "not-run") {
                EXPECT_FALSE(counts.contains(record.tag)) << record.tag << " ran: " << record.answer.body;
            }
            if (outcome == "done" && record.answer.status == 200) {
                EXPECT_TRUE(counts.contains(record.tag)) << record.tag;
            }
        }
        for (auto const& [outcome, count] : outcomes)
            std::cout << "outcome " << outcome << ": " << count << " of " << records.size() << '\n';
        EXPECT_GT(outcomes["done"], 0U);
    }

    Backend& backend_of(unsigned round) { return m_fleet.backend(round % 2 == 0 ? "pay-1" : "pay-2"); }

    Fleet m_fleet;
};

}

TEST_F(AtMostOnce, WhenLinksAreReset)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call(caller, number); },
        [this](unsigned round) { backend_of(round).link_proxy->reset_connections(); }, 20);
}

TEST_F(AtMostOnce, WhenTheServiceLosesItsConnections)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call(caller, number); },
        [this](unsigned round) { backend_of(round).engine_proxy->reset_connections(); }, 20);
}

TEST_F(AtMostOnce, WhenSideProcessesAreKilled)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call(caller, number); },
        [this](unsigned round) { m_fleet.restart_side(backend_of(round)); }, 6);
}

TEST_F(AtMostOnce, WhenSideProcessesAreFrozenPastTheirPeersPatience)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call(caller, number); },
        [this](unsigned round) {
            backend_of(round).side->freeze();
            std::this_thread::sleep_for(Core::Milliseconds(round % 2 == 0 ? 1500 : 4500));
            backend_of(round).side->thaw();
        },
        4);
}

TEST_F(AtMostOnce, WhenLinksAreFrozenInOneDirection)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call(caller, number); },
        [this](unsigned round) {
            backend_of(round).link_proxy->set_mode(
                round % 2 == 0 ? FaultProxy::Mode::FreezeAnswers : FaultProxy::Mode::FreezeRequests);
            std::this_thread::sleep_for(Core::Milliseconds(1500));
            backend_of(round).link_proxy->set_mode(FaultProxy::Mode::Pass);
        },
        4);
}

TEST_F(AtMostOnce, WhenEntriesAreKilled)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call(caller, number); },
        [this](unsigned round) {
            m_fleet.restart_entry(m_fleet.entry(round % 2));
            m_fleet.wait_until_ready(m_fleet.entry(round % 2));
        },
        4);
}

TEST_F(AtMostOnce, WithTicketsRepeatedThroughTheOtherEntryWhileSideProcessesAreKilled)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call_with_ticket(caller, number); },
        [this](unsigned round) { m_fleet.restart_side(backend_of(round)); }, 6);
}

TEST_F(AtMostOnce, WithTicketsWhileLinksAreResetAndSideProcessesFrozen)
{
    run_with_fault([this](unsigned caller, unsigned number) { return call_with_ticket(caller, number); },
        [this](unsigned round) {
            backend_of(round).link_proxy->reset_connections();
            backend_of(round + 1).side->freeze();
            std::this_thread::sleep_for(Core::Milliseconds(1200));
            backend_of(round + 1).side->thaw();
        },
        6);
}

TEST(NotRun, AServiceThatTakesNoConnectionIsNotRunAndTheRequestGoesElsewhere)
{
    Fleet fleet;
    fleet.add_class("payment", {{"tier", "1"}});
    // No service listens on port 1 of this machine.
    fleet.add_plain_backend("pay-1", 4, {{"backend-server", {{"address", "127.0.0.1:1"}}}});
    fleet.add_plain_backend("pay-2", 4);
    fleet.start();
    for (unsigned number = 0; number < 10; ++number) {
        auto const answer = fleet.call_service("/confirm", "n" + std::to_string(number), s_class_header);
        EXPECT_EQ(answer.status, 200) << answer.body;
    }
    fleet.backend("pay-2").side->kill();
    ASSERT_TRUE(wait_until([&] {
        return fleet.call_service("/confirm", "last", s_class_header).json()["error"]["code"] == "engine_down";
    }));
    auto const answer = fleet.call_service("/confirm", "last", s_class_header);
    EXPECT_EQ(answer.outcome(), "not-run");
    EXPECT_FALSE(fleet.executions(fleet.backend("pay-2")).contains("last"));
}

TEST_F(AtMostOnce, ALostAnswerIsUnknownAndTheTicketTellsTheTruth)
{
    auto headers = s_class_header;
    headers["Idempotency-Key"] = m_fleet.ticket("pay");
    for (auto const* name : {"pay-1", "pay-2"})
        m_fleet.control_backend(m_fleet.backend(name), {{"lose-answers", true}});
    auto const first = m_fleet.call_service("/confirm", "lost-1", headers, 0);
    EXPECT_EQ(first.outcome(), "unknown") << first.body;
    auto const second = m_fleet.call_service("/confirm", "lost-1", headers, 1);
    EXPECT_EQ(second.outcome(), "unknown");
    EXPECT_EQ(second.json()["error"]["code"], "ticket_used");
    EXPECT_EQ(all_executions()["lost-1"], 1U);
}

TEST_F(AtMostOnce, ATicketsAnswerIsGivenAgain)
{
    auto headers = s_class_header;
    headers["Idempotency-Key"] = m_fleet.ticket("pay");
    auto const first = m_fleet.call_service("/confirm", "again-1", headers, 0);
    auto const second = m_fleet.call_service("/confirm", "again-1", headers, 1);
    EXPECT_EQ(first.body, second.body);
    EXPECT_EQ(second.headers.at("granitefield-replayed"), "yes");
    EXPECT_EQ(all_executions()["again-1"], 1U);
}

}
