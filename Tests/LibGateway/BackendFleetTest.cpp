// Tests that the state kept for a backend server ends with its run, also when the next run has the same name.
#include "NullDescriptor.h"

#include <LibCore/Text.h>
#include <LibGateway/BackendFleet.h>
#include <LibGateway/LoadSources.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};

class ServerRuns : public ::testing::Test {
protected:
    /// Applies a list with the server's run that started at the given time.
    void apply_run(int born)
    {
        Entry::ServerList list;
        list.servers.push_back({"i-1", "svc", *Core::Address::from_string("127.0.0.1:9"), "here", 8,
            Table::BackendServerState::Serving, Platform::BirthTime(Core::Milliseconds(born))});
        m_fleet.apply(list, s_start);
    }

    [[nodiscard]] std::shared_ptr<BackendView> view() const { return m_fleet.all().at("i-1"); }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    BackendFleet m_fleet {{}, m_log};
};

}

TEST_F(ServerRuns, AreSilentUntilTheyAnswerAfterAnUnansweredRequest)
{
    apply_run(1'000);
    auto const server = view();
    EXPECT_FALSE(server->is_silent());
    server->note_unanswered(s_start);
    EXPECT_TRUE(server->is_silent());
    std::set<std::string> silent;
    m_fleet.add_silent_servers(silent);
    EXPECT_EQ(silent, std::set<std::string> {"i-1"});
    server->note_received(s_start + 1s);
    EXPECT_FALSE(server->is_silent());
    // It has answered since that request was sent.
    server->note_unanswered(s_start + 500ms);
    EXPECT_FALSE(server->is_silent());
}

TEST_F(ServerRuns, ResetsTheViewForTheNextRun)
{
    apply_run(1'000);
    auto const before = view();
    std::vector<PromptPart> const prompt {{7, 100}};
    before->prefixes().note_prefill(prompt);
    before->begin_attempt({1, 100, 0});
    before->note_unreachable(1, s_start);
    LoadSources sources(m_fleet);
    ASSERT_TRUE(sources.apply(5, 1, LoadSources::ReportKind::Full, {{before->id(), {3, 300, 0}}}, s_start));
    ASSERT_EQ(before->load().open, 4U);

    apply_run(2'000);
    auto const after = view();
    EXPECT_EQ(after->prefixes().cached_tokens(prompt), 0U);
    EXPECT_EQ(after->load(), ServerLoad());
    EXPECT_FALSE(after->is_avoided(s_start));
    EXPECT_FALSE(after->suspected_since());
    EXPECT_EQ(after->failure_rate(s_start), 0);
    EXPECT_TRUE(after->accepts_new_requests());
    // Requests that were sent to the earlier run are lost.
    EXPECT_FALSE(before->is_listed());
    // A late report of the load of the earlier run does not affect this one.
    ASSERT_TRUE(sources.apply(5, 2, LoadSources::ReportKind::Full, {{before->id(), {4, 400, 0}}}, s_start));
    EXPECT_EQ(view()->load(), ServerLoad());
    EXPECT_NE(before->life().incarnation, after->life().incarnation);
    EXPECT_EQ(before->life().address, after->life().address);
}

TEST(BackendFleet, LogsTheFirstListInOneLine)
{
    auto* const file = std::tmpfile();
    ASSERT_NE(file, nullptr);
    {
        Observe::MetricRegistry metrics;
        Observe::EventLog log {::fileno(file), "gateway-1", Core::Incarnation(1), metrics};
        BackendFleet fleet {{}, log};
        Entry::ServerList list;
        for (int number = 0; number < 3'000; ++number)
            list.servers.push_back({Core::concat("i-", number), "svc", *Core::Address::from_string("127.0.0.1:9"),
                "here", 8, Table::BackendServerState::Serving});
        fleet.apply(list, s_start);
        list.servers.push_back({"i-last", "svc", *Core::Address::from_string("127.0.0.1:9"), "here", 8,
            Table::BackendServerState::Serving});
        fleet.apply(list, s_start);
    }
    std::rewind(file);
    std::string written(64U << 10U, ' ');
    written.resize(std::fread(written.data(), 1, written.size(), file));
    std::fclose(file);
    EXPECT_EQ(std::ranges::count(written, '\n'), 2) << written.substr(0, 1'000);
    EXPECT_NE(written.find(R"("event":"server-list","servers":3000)"), std::string::npos);
    EXPECT_NE(written.find(R"("change":"added","instance":"i-last")"), std::string::npos);
}

TEST_F(ServerRuns, IgnoresAListOfAnEarlierRun)
{
    apply_run(2'000);
    auto const now = view();
    now->begin_attempt({1, 100, 0});
    apply_run(1'000);
    EXPECT_EQ(view(), now);
    EXPECT_EQ(view()->load().open, 1U);
}

namespace {

/// A single gateway in front of backend servers of one service.
class ServerFleet : public ::testing::Test {
protected:
    explicit ServerFleet(std::vector<std::string> instances)
        : m_instances(std::move(instances))
    {
        list_servers();
        Entry::LoadMembers const alone;
        m_fleet.apply(&alone);
        m_class.first_token_target = 2s;
        m_call.route = &m_route;
        m_call.request_class = &m_class;
        m_call.service = "svc";
        m_call.received = s_start;
        m_call.deadline = s_start + 10s;
    }

    void list_servers()
    {
        Entry::ServerList list;
        for (auto const& instance : m_instances)
            list.servers.push_back({instance, "svc", *Core::Address::from_string("127.0.0.1:9"), "here", 64,
                Table::BackendServerState::Serving});
        m_fleet.apply(list, s_start);
    }

    /// The first server.
    [[nodiscard]] BackendView& server() const { return *m_fleet.all().at("i-1"); }
    [[nodiscard]] Choice choose(Core::MonotonicTime now = s_start) const { return m_fleet.choose(m_call, {}, now); }

    Testing::NullDescriptor m_log_descriptor;
    Observe::MetricRegistry m_metrics;
    Observe::EventLog m_log {m_log_descriptor.number(), "gateway-1", Core::Incarnation(1), m_metrics};
    BackendFleet m_fleet {{}, m_log};
    Table::Route m_route;
    Table::RequestClass m_class;
    RoutedRequest m_call;

private:
    std::vector<std::string> m_instances;
};

/// Two engines, of which the first holds the prefix of a prompt and has much to prefill.
class FetchSources : public ServerFleet {
protected:
    FetchSources()
        : ServerFleet({"i-1", "i-2"})
    {
        m_call.prompt = {{7, 20'000}, {8, 100}};
        server().prefixes().note_prefill(m_call.prompt);
        server().begin_attempt({8, 400'000, 0});
    }
};

/// One server, which sends signals in its answers.
class ServerStatements : public ServerFleet {
protected:
    ServerStatements()
        : ServerFleet({"i-1"})
    {
    }

    /// Applies an answer that was received at the time of its request.
    void take_answer(ServerSignals const& signals, Core::MonotonicTime now)
    {
        m_fleet.note_signals(server(), signals, now, now);
    }

    [[nodiscard]] bool is_chosen(Core::MonotonicTime now) const { return choose(now).server != nullptr; }
};

}

TEST_F(FetchSources, ExcludeEnginesWithARateLimit)
{
    auto const before = choose();
    ASSERT_EQ(before.server->record().instance, "i-2");
    ASSERT_NE(before.source, nullptr);
    ServerSignals limited;
    limited.rate_limit = 10;
    m_fleet.note_signals(server(), limited, s_start, s_start);
    auto const after = choose();
    EXPECT_EQ(after.server->record().instance, "i-2");
    EXPECT_EQ(after.source, nullptr);
}

TEST_F(FetchSources, ExcludeLeavingEngines)
{
    ServerSignals leaving;
    leaving.is_leaving = true;
    m_fleet.note_signals(server(), leaving, s_start, s_start);
    EXPECT_EQ(choose().source, nullptr);
}

TEST_F(FetchSources, ExcludeEnginesInBackoff)
{
    ServerSignals backing_off;
    backing_off.retry_after = 3s;
    m_fleet.note_signals(server(), backing_off, s_start, s_start);
    EXPECT_EQ(choose().source, nullptr);
}

TEST_F(ServerStatements, EndALimitAfterATimeWithoutRequests)
{
    ServerSignals limited;
    limited.rate_limit = 0.5;
    take_answer(limited, s_start);
    ASSERT_EQ(m_fleet.rate_limit_of(server().id()), 0.5);
    take_answer({}, s_start + BackendFleet::s_confirmation_time * 2);
    EXPECT_FALSE(m_fleet.rate_limit_of(server().id()));
}

TEST_F(ServerStatements, KeepABackoffWhileTheServerIsNotListed)
{
    ServerSignals rejecting;
    rejecting.retry_after = 30s;
    take_answer(rejecting, s_start);
    ASSERT_FALSE(is_chosen(s_start + 1s));
    m_fleet.apply(Entry::ServerList(), s_start + 1s);
    EXPECT_EQ(m_fleet.listed_count(), 0U);
    list_servers();
    EXPECT_FALSE(is_chosen(s_start + 2s));
    EXPECT_TRUE(is_chosen(s_start + 31s));
}

}
