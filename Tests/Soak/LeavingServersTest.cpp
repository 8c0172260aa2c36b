// Servers that leave while the gateways that watch the store fail, before a fleet with the settings that are deployed.
#include "SpreadSoak.h"

#include <csignal>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

constexpr unsigned s_gateways = 30;
constexpr unsigned s_seed = 401;
constexpr Core::Milliseconds s_down {12'000};

class LeavingServers : public ::testing::Test {
protected:
    LeavingServers() { std::signal(SIGPIPE, SIG_IGN); }

    void expect_left_alone(std::function<void(SpreadSoak&)> const& script)
    {
        SpreadSoak::Options options;
        options.seed = s_seed;
        options.gateways = s_gateways;
        SpreadSoak soak(options);
        auto const report = soak.run([&] { script(soak); });
        for (auto const& problem : report.problems)
            ADD_FAILURE() << problem;
        EXPECT_GT(report.answers.at("200"), 500U);
    }
};

}

TEST_F(LeavingServers, GetNoRequestsAfterTheBoundWhenAllWatchersDieAsTheEntryIsRemoved)
{
    expect_left_alone([](SpreadSoak& soak) {
        soak.pass(5s);
        soak.lose_watchers(s_down);
        soak.let_server_leave("svc-a", SpreadSoak::Leaving::EntryRemoved);
        soak.pass(7s);
    });
}

TEST_F(LeavingServers, GetNoRequestsAfterTheBoundWhenTheNextWatchersDieAsWell)
{
    expect_left_alone([](SpreadSoak& soak) {
        soak.pass(5s);
        soak.lose_watchers(s_down);
        soak.let_server_leave("svc-b", SpreadSoak::Leaving::EntryRemoved);
        soak.let_server_leave("svc-a", SpreadSoak::Leaving::Stated);
        soak.pass(1'500ms);
        soak.lose_watchers(s_down);
        soak.pass(6s);
    });
}

}
