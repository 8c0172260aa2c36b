// All promises together: several faults at once, from a fixed seed, while callers of every kind run. One
// checker looks at what callers got and at what the backend servers say they executed. GRANITEFIELD_CHAOS_ROUNDS
// makes it longer (Meta/chaos.sh).
#include "Callers.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

namespace {

constexpr unsigned s_default_rounds = 10;
constexpr unsigned s_default_seed = 20261202;

unsigned number_from_environment(char const* name, unsigned otherwise)
{
    auto const* text = std::getenv(name);
    return text == nullptr ? otherwise : static_cast<unsigned>(std::stoul(text));
}

class Chaos : public ::testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.add_class("clerk", {{"tier", "1"}, {"give-up", "3s"}});
        m_fleet.add_class("fraud-note", {{"tier", "4"}, {"floor", "10"}, {"give-up", "5s"}});
        for (auto const* name : s_engines)
            m_fleet.add_model_backend(name, {4, 1000}, {{"queue", {{"limit", 8}}}});
        for (auto const* name : s_services)
            m_fleet.add_plain_backend(name, 4);
        m_fleet.start(3);
        for (auto const* name : s_services)
            m_fleet.control_backend(m_fleet.backend(name), {{"delay-ms", 5}});
    }

    CallRecord complete(unsigned caller, unsigned number)
    {
        auto const tag = "c" + std::to_string(caller) + "n" + std::to_string(number);
        auto const tokens = 5 + (caller * 11 + number * 7) % 50;
        return {tag, tokens,
            m_fleet.complete(
                caller % 3 == 0 ? "clerk" : "fraud-note", tag, tokens, number % 3 != 0, (caller + number) % 3)};
    }

    CallRecord confirm(unsigned caller, unsigned number)
    {
        auto const tag = "p" + std::to_string(caller) + "n" + std::to_string(number);
        Json headers {{"Granitefield-Class", "clerk"}};
        auto const ticket = send_request(m_fleet.entry(caller % 3).caller_port, "POST", "/v1/tickets",
            Json {{"service", "pay"}}.dump(), {"Authorization: Bearer " + std::string(Fleet::s_key)});
        if (ticket.status == 200)
            headers["Idempotency-Key"] = ticket.json()["ticket"];
        auto const repeats = ticket.status == 200 ? 2U : 1U;
        CallRecord record {tag, 0, {}};
        for (unsigned repeat = 0; repeat < repeats; ++repeat)
            record.answer = m_fleet.call_service("/confirm", tag, headers, (caller + repeat) % 3);
        return record;
    }

    /// Makes one fault, keeps it for a random time and ends it.
    void make_fault(std::mt19937& random)
    {
        std::vector<std::string> names(std::begin(s_engines), std::end(s_engines));
        names.insert(names.end(), std::begin(s_services), std::end(s_services));
        auto& backend = m_fleet.backend(names[random() % names.size()]);
        auto& other = m_fleet.backend(names[random() % names.size()]);
        Core::Milliseconds const length(50 + random() % 1500);
        switch (random() % 9) {
        case 0:
            backend.link_proxy->reset_connections();
            other.engine_proxy->reset_connections();
            break;
        case 1:
            m_fleet.restart_side(backend);
            break;
        case 2:
            backend.side->freeze();
            std::this_thread::sleep_for(length);
            backend.side->thaw();
            break;
        case 3:
            backend.link_proxy->set_mode(
                random() % 2 == 0 ? FaultProxy::Mode::FreezeAnswers : FaultProxy::Mode::FreezeRequests);
            other.link_proxy->set_delay(Core::Milliseconds(random() % 30));
            std::this_thread::sleep_for(length);
            backend.link_proxy->set_mode(FaultProxy::Mode::Pass);
            other.link_proxy->set_delay(Core::Milliseconds(0));
            break;
        case 4:
            m_fleet.control_platform({{"outage", true}});
            std::this_thread::sleep_for(length);
            m_fleet.control_platform({{"outage", false}});
            break;
        case 5:
            m_fleet.restart_entry(m_fleet.entry(random() % 3));
            break;
        case 6: {
            auto& entry = m_fleet.entry(random() % 3);
            entry.process->freeze();
            std::this_thread::sleep_for(length);
            entry.process->thaw();
            break;
        }
        case 7:
            static_cast<void>(
                m_fleet.tool({"table", "set", "classes", "fraud-note", "weight=" + std::to_string(1 + random() % 50)}));
            break;
        default:
            // A planned stop and a new start.
            backend.side->terminate();
            static_cast<void>(backend.side->wait());
            m_fleet.restart_side(backend);
        }
    }

    void check_completion(CallRecord const& record)
    {
        auto const expected = expected_content(record.tag, record.tokens);
        auto const outcome = record.answer.outcome();
        if (outcome == "done") {
            EXPECT_TRUE(record.answer.is_whole) << record.tag;
            EXPECT_EQ(record.answer.content(), expected);
        } else if (outcome == "cut" || record.answer.status == 200) {
            EXPECT_FALSE(record.answer.is_whole) << record.tag;
            EXPECT_EQ(record.answer.body.find("data: [DONE]"), std::string::npos) << record.tag;
            EXPECT_TRUE(expected.starts_with(record.answer.content())) << record.tag;
        } else if (outcome == "not-run") {
            EXPECT_FALSE(m_executions.contains(record.tag)) << record.tag << " ran: " << record.answer.body;
        }
    }

    void check_confirmation(CallRecord const& record)
    {
        auto const outcome = record.answer.outcome();
        if (outcome == "not-run") {
            EXPECT_FALSE(m_executions.contains(record.tag)) << record.tag << " ran: " << record.answer.body;
        }
        if (outcome == "done" && record.answer.status == 200) {
            EXPECT_TRUE(m_executions.contains(record.tag)) << record.tag;
        }
    }

    void collect_executions()
    {
        m_executions.clear();
        for (auto const* name : s_engines) {
            auto const list = m_fleet.executions(m_fleet.backend(name));
            for (auto const& execution : list)
                ++m_executions[execution["tag"].get<std::string>()];
        }
        for (auto const* name : s_services) {
            auto const list = m_fleet.executions(m_fleet.backend(name));
            for (auto const& [tag, count] : list.items())
                m_executions[tag] += count.get<unsigned>();
        }
    }

    static constexpr char const* s_engines[] = {"llm-1", "llm-2", "llm-3"};
    static constexpr char const* s_services[] = {"pay-1", "pay-2"};

    Fleet m_fleet;
    std::map<std::string, unsigned> m_executions;
};

}

TEST_F(Chaos, AllPromisesHoldTogether)
{
    std::mt19937 random(number_from_environment("GRANITEFIELD_CHAOS_SEED", s_default_seed));
    auto const rounds = number_from_environment("GRANITEFIELD_CHAOS_ROUNDS", s_default_rounds);
    Callers completions(9, [this](unsigned caller, unsigned number) { return complete(caller, number); });
    Callers confirmations(4, [this](unsigned caller, unsigned number) { return confirm(caller, number); });
    for (unsigned round = 0; round < rounds; ++round) {
        auto const before = completions.done_count();
        make_fault(random);
        ASSERT_TRUE(wait_until([&] { return completions.done_count() > before + 5; }, Core::Milliseconds(30'000)))
            << "nothing is served after round " << round;
    }
    auto const& completed = completions.stop();
    auto const& confirmed = confirmations.stop();
    // What is still under way somewhere ends before the executions are counted.
    for (auto const* name : {"llm-1", "llm-2", "llm-3", "pay-1", "pay-2"})
        ASSERT_TRUE(
            wait_until([&] { return m_fleet.status(m_fleet.backend(name).side_operator_port)["running"] == 0; }));
    collect_executions();
    std::map<std::string, unsigned> outcomes;
    for (auto const& record : completed) {
        check_completion(record);
        ++outcomes["completion " + record.answer.outcome()];
    }
    for (auto const& record : confirmed) {
        check_confirmation(record);
        ++outcomes["confirmation " + record.answer.outcome()];
    }
    for (auto const& [tag, count] : m_executions) {
        if (tag.starts_with("p")) {
            EXPECT_EQ(count, 1U) << tag << " ran more than once";
        }
    }
    for (auto const& [outcome, count] : outcomes)
        std::cout << outcome << ": " << count << '\n';
    EXPECT_TRUE(wait_until([&] {
        auto const version = m_fleet.status(m_fleet.entry(0).operator_port)["table-version"];
        return version == m_fleet.status(m_fleet.entry(1).operator_port)["table-version"]
            && version == m_fleet.status(m_fleet.entry(2).operator_port)["table-version"];
    }));
}

}
