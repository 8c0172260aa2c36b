// How long prompts and streams with short pause targets are kept apart.
#include "NullDescriptor.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibGateway/BackendFleet.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Gateway {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_now {1h};
constexpr std::uint32_t s_long_prompt = 17'000;
/// Reading this again costs more than another open request, and less than a late stream.
constexpr std::uint32_t s_shared_part = 300;

class PauseRules : public ::testing::Test {
protected:
    PauseRules()
    {
        Table::Change change;
        auto const set = [&change](Table::SheetName sheet, char const* row, char const* column, char const* value) {
            change.push_back({{sheet, row, column}, value});
        };
        set(Table::SheetName::Services, "svc", "kind", "model");
        set(Table::SheetName::Services, "svc", "model", "m");
        for (auto const& [name, gap] : {std::pair("chat", "300ms"), std::pair("bulk", "1200ms")}) {
            set(Table::SheetName::Classes, name, "tier", "1");
            set(Table::SheetName::Classes, name, "first-token", "1500ms");
            set(Table::SheetName::Classes, name, "token-gap", gap);
            set(Table::SheetName::Routes, name, "host", "host.test");
            set(Table::SheetName::Routes, name, "path-prefix", name == std::string("chat") ? "/chat/" : "/bulk/");
            set(Table::SheetName::Routes, name, "class", name);
            set(Table::SheetName::Routes, name, "services", "svc:1");
            set(Table::SheetName::Routes, name, "answer", "events");
            set(Table::SheetName::Routes, name, "key", "open");
        }
        m_table = std::make_shared<Table::Table const>(Table::Table().with(change));
        Entry::ServerList list;
        for (auto const* instance : {"i-1", "i-2", "i-3"})
            list.servers.push_back({instance, "svc", *Core::Address::from_string("127.0.0.1:9"), "here", 64,
                Table::BackendServerState::Serving});
        m_fleet.follow(list);
        m_fleet.follow(*m_table);
    }

    /// A call with a part that other prompts share, which makes one engine its home, and a part of its own.
    [[nodiscard]] GatewayCall call(std::string const& kind, std::uint32_t tokens, std::string const& part) const
    {
        HTTP::RequestHead head;
        head.method = "POST";
        head.target = "/" + kind + "/x";
        head.fields.add("Host", "host.test");
        head.fields.add("Granitefield-Prompt-Parts", Core::concat(part, ":", s_shared_part, ",own:", tokens));
        return std::get<GatewayCall>(read_call(std::move(head), "", m_table, Dialect(), s_now));
    }

    /// Lets the fleet see streams that pause so long beside a long reading.
    void learn(std::chrono::milliseconds pause)
    {
        auto& server = *m_fleet.all().begin()->second;
        server.begin_attempt({1, s_long_prompt, 0});
        for (unsigned count = 0; count < PauseModel::s_enough_pauses; ++count)
            m_fleet.note_pause("svc", server, pause);
        ServerLoad load {1, s_long_prompt, 0};
        server.end_attempt(load);
    }

    [[nodiscard]] Choice choose(GatewayCall const& call) { return m_fleet.choose(call, {}, s_now); }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    BackendFleet::Settings m_settings;
    BackendFleet m_fleet {m_settings, m_log};
    std::shared_ptr<Table::Table const> m_table;
};

}

TEST_F(PauseRules, NobodyIsSensitiveBeforePausesWereSeen)
{
    EXPECT_FALSE(choose(call("chat", 1'000, "p")).is_pause_sensitive);
}

TEST_F(PauseRules, AClassIsSensitiveWhenItsTargetIsBelowThePauseBesideAReading)
{
    learn(310ms);
    EXPECT_TRUE(choose(call("chat", 1'000, "p")).is_pause_sensitive);
    EXPECT_FALSE(choose(call("bulk", 1'000, "p")).is_pause_sensitive);
}

TEST_F(PauseRules, QuickEnginesMakeNobodySensitive)
{
    learn(60ms);
    EXPECT_FALSE(choose(call("chat", 1'000, "p")).is_pause_sensitive);
}

TEST_F(PauseRules, LongPromptsKeepAwayFromSensitiveStreams)
{
    learn(310ms);
    auto const long_call = call("bulk", s_long_prompt, "p");
    auto const home = choose(long_call).server;
    // Any other stream leaves it at the engine that keeps its shared part.
    home->begin_attempt({1, 0, 0});
    EXPECT_EQ(choose(long_call).server, home);
    home->begin_attempt({1, 0, 1});
    EXPECT_NE(choose(long_call).server, home);
    // A short one is read within a step and may stay.
    EXPECT_EQ(choose(call("bulk", 100, "p")).server, home);
}

TEST_F(PauseRules, SensitiveStreamsShareEnginesAndKeepAwayFromLongReadings)
{
    learn(310ms);
    auto const first = choose(call("chat", 1'000, "p")).server;
    first->begin_attempt({1, 0, 1});
    for (auto const* part : {"q", "r", "s", "t"})
        EXPECT_EQ(choose(call("chat", 1'000, part)).server, first) << part;
    // A reading that is waited for less time than the first stream of another engine weighs, but makes streams late.
    auto const home = choose(call("chat", 1'000, "p")).server;
    EXPECT_EQ(home, first);
    first->begin_attempt({1, PauseModel::s_long_reading_tokens, 0});
    EXPECT_NE(choose(call("chat", 1'000, "p")).server, first);
}

RC_GTEST_PROP(PauseModel, SettlesWhereMostPausesLieBelow, ())
{
    PauseModel model;
    // Pauses spread evenly over a range; three quarters of them lie below the estimate, give or take its steps.
    auto const least = *rc::gen::inRange(20, 400);
    auto const width = *rc::gen::inRange(1, 200);
    for (int count = 0; count < 2'000; ++count)
        model.note_pause(PauseModel::Time(least + (count * 37) % width), PauseModel::s_long_reading_tokens);
    RC_ASSERT(model.pause().count() > least * 0.9);
    RC_ASSERT(model.pause().count() < (least + width) * 1.1);
}

TEST(PauseModel, LearnsAfterAFirstPauseOfNothing)
{
    PauseModel model;
    model.note_pause(PauseModel::Time(0), PauseModel::s_long_reading_tokens);
    for (int count = 0; count < 500; ++count)
        model.note_pause(PauseModel::Time(300), PauseModel::s_long_reading_tokens);
    EXPECT_TRUE(model.is_sensitive(300ms));
}

RC_GTEST_PROP(ServerLoad, IsNothingAgainWhenAllAttemptsAreOver, ())
{
    Entry::ServerEntry record;
    BackendView view(record);
    auto loads = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 50'000U));
    std::vector<ServerLoad> open;
    for (auto const tokens : loads) {
        open.push_back({1, tokens, tokens % 2});
        view.begin_attempt(open.back());
        if (tokens % 3 == 0)
            view.note_read(open.back());
    }
    for (auto& load : open) {
        view.end_attempt(load);
        view.end_attempt(load);
    }
    RC_ASSERT(view.load().open == 0U);
    RC_ASSERT(view.load().unread_tokens == 0U);
    RC_ASSERT(view.load().pause_sensitive == 0U);
}

}
