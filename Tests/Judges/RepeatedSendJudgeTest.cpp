// The judges of repeated sends, on histories whose verdict is plain.
#include "RepeatedSendJudge.h"
#include "CrashSendJudge.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime at(Core::Milliseconds time)
{
    return Core::MonotonicTime(1h) + time;
}

class RepeatedSendVerdicts : public ::testing::Test {
protected:
    std::string send(Core::Milliseconds time, std::size_t max_servers = 2)
    {
        auto id = Core::concat("g0-", m_sent++);
        m_judge.note_request({id, "svc", at(time), 1s, max_servers});
        return id;
    }

    void arrive(std::string const& id, Core::Milliseconds time, Core::Milliseconds remaining = 0ms)
    {
        m_judge.note_arrival({id, at(time), remaining, true});
    }

    /// A request that arrives at two servers.
    void send_twice(Core::Milliseconds time, Core::Milliseconds second_arrival)
    {
        auto const id = send(time);
        arrive(id, time);
        arrive(id, second_arrival);
    }

    [[nodiscard]] std::size_t broken() const { return m_judge.findings().size(); }

    RepeatedSendJudge m_judge {{0.2, 5, 10s}};
    unsigned m_sent {0};
};

}

TEST_F(RepeatedSendVerdicts, AllowsTheSlackAndAShareOfTheRequests)
{
    // 5 + 0.2 * 10
    for (int number = 0; number < 3; ++number)
        static_cast<void>(send(1s));
    for (int number = 0; number < 7; ++number)
        send_twice(1s, 2s);
    EXPECT_EQ(broken(), 0U);
    arrive("g0-3", 3s);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(RepeatedSendVerdicts, CountsRepeatsOfEarlierWindowsThatArriveTogether)
{
    for (int number = 0; number < 8; ++number)
        send_twice(number * 5s, 40s);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(RepeatedSendVerdicts, ForgetsRepeatsAfterTheWindow)
{
    for (int number = 0; number < 12; ++number)
        send_twice(number * 5s, number * 5s);
    EXPECT_EQ(broken(), 0U);
}

TEST_F(RepeatedSendVerdicts, CountsTheRequestsOfTheWindowBefore)
{
    for (int number = 0; number < 100; ++number)
        static_cast<void>(send(1s));
    for (int number = 0; number < 20; ++number)
        send_twice(15s, 15s);
    EXPECT_EQ(broken(), 0U);
}

TEST_F(RepeatedSendVerdicts, CountsServersBeyondTheAttemptsOfTheRoute)
{
    for (int number = 0; number < 4; ++number) {
        auto const id = send(1s, 1);
        m_judge.note_begun(id, "i-1");
        m_judge.note_begun(id, "i-2");
    }
    EXPECT_EQ(broken(), 1U);
    m_judge.note_run_ended("i-2");
    EXPECT_EQ(broken(), 0U);
}

TEST_F(RepeatedSendVerdicts, CountsRepeatsWithMoreTimeThanIsLeft)
{
    for (int number = 0; number < 21; ++number) {
        auto const begin = number * 10s;
        auto const id = send(begin);
        arrive(id, begin, 1s);
        // Ends 600 ms after the caller's time.
        arrive(id, begin + 700ms, 900ms);
    }
    EXPECT_EQ(broken(), 1U);
}

TEST_F(RepeatedSendVerdicts, AllowsRepeatsThatEndWithTheCallersTime)
{
    for (int number = 0; number < 30; ++number) {
        auto const begin = number * 10s;
        auto const id = send(begin);
        arrive(id, begin, 1s);
        arrive(id, begin + 700ms, 300ms);
    }
    EXPECT_EQ(broken(), 0U);
}

TEST(CrashSendVerdicts, AllowsThreeArrivalsAfterTheContactTime)
{
    CrashSendJudge judge(3, 3s);
    for (int number = 0; number < 3; ++number) {
        judge.note_arrival("part", at(number * 1s));
        judge.note_crash("part", at(number * 1s));
    }
    for (int number = 0; number < 10; ++number)
        judge.note_arrival("part", at(4s));
    for (int number = 0; number < 3; ++number)
        judge.note_arrival("part", at(6s));
    EXPECT_EQ(judge.findings().size(), 0U);
    judge.note_arrival("part", at(6s));
    EXPECT_EQ(judge.findings().size(), 1U);
}

}
