// Checks the placement of requests at engines: which costs are compared, and which requests are kept apart.
#include "NullDescriptor.h"

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibGateway/BackendFleet.h>

#include <algorithm>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Gateway {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_now {1h};
constexpr std::uint32_t s_long_prompt = 17'000;
/// Prefilling this costs more than another open request, and less than a late stream.
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
        m_fleet.apply(list, s_now);
        m_fleet.apply(*m_table);
    }

    /// Returns a request with a part that other prompts share, which determines its home, and a part of its own.
    [[nodiscard]] RoutedRequest make_request(
        std::string const& kind, std::uint32_t tokens, std::string const& part) const
    {
        return make_prompt_request(Core::concat(part, ":", s_shared_part, ",own:", tokens), kind);
    }

    [[nodiscard]] RoutedRequest make_prompt_request(std::string const& parts, std::string const& kind = "bulk") const
    {
        HTTP::RequestHead head;
        head.method = "POST";
        head.target = "/" + kind + "/x";
        head.fields.add("Host", "host.test");
        head.fields.add("Granitefield-Prompt-Parts", parts);
        return std::get<RoutedRequest>(route_request(std::move(head), {}, m_table, Dialect(), s_now));
    }

    /// Lets the fleet observe streams that pause this long during a long prefill.
    void observe_pauses(std::chrono::milliseconds pause)
    {
        auto& server = *m_fleet.all().begin()->second;
        server.begin_attempt({1, s_long_prompt, 0});
        for (unsigned count = 0; count < EngineModel::s_initial_pause_count; ++count)
            m_fleet.note_pause("svc", server, pause);
        ServerLoad load {1, s_long_prompt, 0};
        server.end_attempt(load);
    }

    [[nodiscard]] Choice choose(RoutedRequest const& request) { return m_fleet.choose(request, {}, s_now); }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    BackendFleet::Settings m_settings;
    BackendFleet m_fleet {m_settings, m_log};
    std::shared_ptr<Table::Table const> m_table;
};

}

TEST_F(PauseRules, UsesTheConfiguredPauseBeforeAnyObservation)
{
    for (auto const pause : {310ms, 60ms}) {
        m_settings.engine_prior.longest_pause = pause;
        m_fleet.set_settings(m_settings);
        EXPECT_EQ(choose(make_request("chat", 1'000, "p")).is_pause_sensitive, pause == 310ms);
        EXPECT_FALSE(choose(make_request("bulk", 1'000, "p")).is_pause_sensitive);
    }
}

TEST_F(PauseRules, KeepsLongPromptsFromStreamsRightAfterAStart)
{
    m_settings.engine_prior.longest_pause = 310ms;
    m_fleet.set_settings(m_settings);
    auto const long_request = make_request("bulk", s_long_prompt, "p");
    auto const home = choose(long_request).server;
    home->begin_attempt({1, 0, 1});
    EXPECT_NE(choose(long_request).server, home);
}

TEST_F(PauseRules, MarksClassesWithTargetsBelowTheObservedPauseAsSensitive)
{
    observe_pauses(310ms);
    EXPECT_TRUE(choose(make_request("chat", 1'000, "p")).is_pause_sensitive);
    EXPECT_FALSE(choose(make_request("bulk", 1'000, "p")).is_pause_sensitive);
}

TEST_F(PauseRules, MarksNoClassAsSensitiveOnFastEngines)
{
    observe_pauses(60ms);
    EXPECT_FALSE(choose(make_request("chat", 1'000, "p")).is_pause_sensitive);
}

TEST_F(PauseRules, PlacesLongPromptsAwayFromSensitiveStreams)
{
    observe_pauses(310ms);
    auto const long_request = make_request("bulk", s_long_prompt, "p");
    auto const home = choose(long_request).server;
    // A stream that is not sensitive does not move the prompt from the engine that has cached its shared part.
    home->begin_attempt({1, 0, 0});
    EXPECT_EQ(choose(long_request).server, home);
    home->begin_attempt({1, 0, 1});
    EXPECT_NE(choose(long_request).server, home);
    // A short prompt is prefilled within one step and may stay.
    EXPECT_EQ(choose(make_request("bulk", 100, "p")).server, home);
}

TEST_F(PauseRules, PlacesSensitiveStreamsAwayFromLongPrefills)
{
    observe_pauses(310ms);
    auto const home = choose(make_request("chat", 1'000, "p")).server;
    // The wait for this prefill is shorter than the target, but it makes streams late.
    home->begin_attempt({1, EngineModel::s_initial_long_prefill, 0});
    EXPECT_NE(choose(make_request("chat", 1'000, "p")).server, home);
}

TEST_F(PauseRules, PlacesSensitiveStreamsAwayFromRecentLongPrefills)
{
    observe_pauses(310ms);
    auto const home = choose(make_request("chat", 1'000, "p")).server;
    ServerLoad load {1, s_long_prompt, 0};
    home->begin_attempt(load);
    auto now = s_now;
    for (int count = 0; count < 20; ++count)
        m_fleet.sample_prefill_load(now += BackendFleet::s_sampling_interval);
    home->end_attempt(load);
    EXPECT_NE(choose(make_request("chat", 1'000, "p")).server, home);
}

TEST_F(PauseRules, DoesNotQueuePrefillsWhereStreamsAreAlreadyLate)
{
    observe_pauses(310ms);
    auto const long_request = make_request("bulk", s_long_prompt, "p");
    auto const home = choose(long_request).server;
    home->begin_attempt({3, EngineModel::s_initial_long_prefill, 2});
    // The first prefill makes the current streams late; the second would delay streams that arrive meanwhile.
    EXPECT_NE(choose(long_request).server, home);
}

TEST_F(PauseRules, DoesNotQueueAllLongPromptsAtTheEngineWithoutSensitiveStreams)
{
    // Two of three engines run streams that long prefills may make late; no engine has anything to prefill.
    observe_pauses(310ms);
    auto engine = m_fleet.all().begin();
    for (int count = 0; count < 2; ++count, ++engine)
        engine->second->begin_attempt({20, 0, 20});
    // Time that callers of a class with a target of 1500 ms wait.
    constexpr auto timeout = 6'000ms;
    for (int number = 0; number < 30; ++number) {
        bool const is_one_free = std::ranges::any_of(
            m_fleet.all(), [](auto const& item) { return item.second->load().unread_tokens == 0; });
        auto const choice = choose(make_request("bulk", s_long_prompt, Core::concat("p", number)));
        EXPECT_FALSE(is_one_free && choice.predicted_wait > timeout) << number;
        choice.server->begin_attempt({1, choice.unread_tokens, 0});
    }
    EXPECT_TRUE(
        std::ranges::none_of(m_fleet.all(), [](auto const& item) { return item.second->load().unread_tokens == 0; }));
}

TEST_F(PauseRules, LimitsCopiesOfSharedPartsToFewEngines)
{
    for (int number = 0; number < 20; ++number) {
        auto const prompt = make_prompt_request(Core::concat("case-", number, ":13000,own:100"));
        auto const home = choose(prompt).server;
        home->prefixes().note_prefill(prompt.prompt);
        ServerLoad queued_prefill {1, 90'000, 0};
        home->begin_attempt(queued_prefill);
        auto const second = choose(prompt).server;
        ASSERT_NE(second, home);
        // Another engine is slightly less busy; a copy there would evict what other prompts need.
        ServerLoad other_load {3, 0, 0};
        second->begin_attempt(other_load);
        EXPECT_EQ(choose(prompt).server, second) << number;
        second->end_attempt(other_load);
        home->end_attempt(queued_prefill);
    }
}

TEST_F(PauseRules, FetchesAPromptFromTheEngineWithTheLongestCachedPrefix)
{
    auto const first = make_prompt_request("a:4000,b:4000,own:100");
    auto const home = choose(first).server;
    home->prefixes().note_prefill(first.prompt);
    EXPECT_EQ(choose(first).source, nullptr);
    // The wait at the home is longer than the target.
    home->begin_attempt({1, 90'000, 0});
    auto const choice = choose(first);
    ASSERT_NE(choice.server, home);
    EXPECT_EQ(choice.source, home);
    EXPECT_EQ(choice.unread_tokens + choice.moved_tokens, 8'100U);
    EXPECT_GE(choice.moved_tokens, 8'000U - 4'000U);
    EXPECT_EQ(choice.moved_tokens % 100, 0U);
}

TEST_F(PauseRules, FetchesNothingFromALeavingOrFailedEngine)
{
    auto const request = make_prompt_request("a:4000,b:4000,own:100");
    auto const home = choose(request).server;
    home->prefixes().note_prefill(request.prompt);
    auto record = home->record();
    record.state = Table::BackendServerState::Leaving;
    home->set_record(record);
    EXPECT_NE(choose(request).source, home);
    record.state = Table::BackendServerState::Serving;
    home->set_record(record);
    home->note_unreachable(1, s_now);
    EXPECT_NE(choose(request).server, home);
    EXPECT_NE(choose(request).source, home);
}

TEST_F(PauseRules, DoesNotFillTheSlotsOfAnEngineWhileOthersHaveFreeOnes)
{
    // Two engines prefill long prompts now and then, so that streams prefer the third.
    observe_pauses(310ms);
    auto now = s_now;
    auto const last = std::prev(m_fleet.all().end())->second;
    for (auto const& [instance, view] : m_fleet.all()) {
        if (view != last)
            view->begin_attempt({1, EngineModel::s_initial_long_prefill / 2, 0});
    }
    for (int count = 0; count < 20; ++count)
        m_fleet.sample_prefill_load(now += BackendFleet::s_sampling_interval);
    auto const slots = last->record().slots;
    for (unsigned number = 0; number < 2 * slots; ++number)
        choose(make_request("chat", 100, "p")).server->begin_attempt({1, 0, 1});
    // A request that finds no slot waits, or preempts a less urgent request whose prompt is prefilled again.
    EXPECT_GT(last->load().open, slots / 4);
    EXPECT_LT(last->load().open, slots);
}

TEST_F(PauseRules, SpreadsRequestsOverEqualEngines)
{
    std::set<std::string> used;
    for (int number = 0; number < 3; ++number) {
        auto const choice = choose(make_prompt_request("own:5000"));
        choice.server->begin_attempt({1, choice.unread_tokens, 0});
        used.insert(choice.server->record().instance);
    }
    EXPECT_EQ(used.size(), 3U);
}

RC_GTEST_FIXTURE_PROP(PauseRules, NeverPrefersAnEngineForAddedLoad, ())
{
    if (*rc::gen::arbitrary<bool>())
        observe_pauses(std::chrono::milliseconds(*rc::gen::inRange(50, 500)));
    auto const kind = *rc::gen::element<std::string>("chat", "bulk");
    auto const request = make_request(kind, *rc::gen::inRange(100U, 20'000U), "p");
    for (auto const& [instance, view] : m_fleet.all()) {
        view->begin_attempt(
            {*rc::gen::inRange(0U, 30U), *rc::gen::inRange<std::uint64_t>(0, 60'000), *rc::gen::inRange(0U, 10U)});
    }
    auto const before = choose(request);
    // Load added to another engine must not attract the request.
    for (auto const& [instance, view] : m_fleet.all()) {
        if (view == before.server)
            continue;
        view->begin_attempt(
            {*rc::gen::inRange(0U, 30U), *rc::gen::inRange<std::uint64_t>(0, 60'000), *rc::gen::inRange(0U, 10U)});
    }
    RC_ASSERT(choose(request).server == before.server);
}

TEST(ExpectedLoss, RisesStrictlyWithTheWait)
{
    Policy::LatenessLoss const loss {10ms, 600ms, 2'400ms};
    double before = -1;
    for (int wait = 0; wait < 100'000; wait += 50) {
        auto const now = loss.expected_loss(Policy::FractionalMilliseconds(wait));
        EXPECT_GT(now, before) << wait;
        EXPECT_LE(now, 1.0);
        before = now;
    }
    EXPECT_LT(loss.expected_loss(Policy::FractionalMilliseconds(100)), 0.02);
    EXPECT_GT(loss.expected_loss(Policy::FractionalMilliseconds(2'400)), 0.8);
}

RC_GTEST_PROP(EngineModel, ConvergesToTheUpperQuantileOfPauses, ())
{
    EngineModel model({});
    // The pauses are uniformly distributed; three quarters of them lie below the estimate, within its step size.
    auto const least = *rc::gen::inRange(20, 400);
    auto const width = *rc::gen::inRange(1, 200);
    for (int count = 0; count < 2'000; ++count)
        model.note_pause(EngineModel::Time(least + (count * 37) % width), EngineModel::s_initial_long_prefill);
    RC_ASSERT(model.longest_pause().count() > least * 0.9);
    RC_ASSERT(model.longest_pause().count() < (least + width) * 1.1);
}

RC_GTEST_PROP(EngineModel, LongerPrefillsAreNeverLessHarmful, ())
{
    EngineModel model({static_cast<double>(*rc::gen::inRange(5, 100)), 250ms});
    auto const pause = *rc::gen::inRange(20, 600);
    for (int count = 0; count < 100; ++count)
        model.note_pause(EngineModel::Time(pause), EngineModel::s_initial_long_prefill);
    EngineModel::Time const target(*rc::gen::inRange(20, 600));
    double before = 0;
    for (std::uint64_t tokens = 0; tokens < 20'000; tokens += 500) {
        auto const now = model.late_probability(target, tokens);
        RC_ASSERT(now >= before);
        RC_ASSERT(now <= 1.0);
        before = now;
    }
}

TEST(EngineModel, AdaptsAfterAFirstPauseOfZero)
{
    EngineModel model({});
    model.note_pause(EngineModel::Time(0), EngineModel::s_initial_long_prefill);
    for (int count = 0; count < 500; ++count)
        model.note_pause(EngineModel::Time(300), EngineModel::s_initial_long_prefill);
    EXPECT_TRUE(model.is_sensitive(300ms));
}

RC_GTEST_PROP(ServerLoad, IsZeroAfterAllAttemptsEnded, ())
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
