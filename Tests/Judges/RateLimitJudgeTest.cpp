// The judge of rate limits, on histories whose verdict is plain.
#include "RateLimitJudge.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

constexpr char const* s_server = "i-1";
constexpr char const* s_gateway = "g0";

class RateLimitVerdicts : public ::testing::Test {
protected:
    /// The server states a limit of 1 at 10 s: 11 requests in 4 s are allowed from 13 s on.
    RateLimitVerdicts()
    {
        m_judge.note_stated(s_server, 1, at(10s));
        m_judge.note_passed_on(s_server, s_gateway, at(10s));
    }

    static Core::MonotonicTime at(Core::Milliseconds time) { return Core::MonotonicTime(1h) + time; }

    void arrive(unsigned count, Core::Milliseconds time, char const* gateway = s_gateway)
    {
        for (unsigned number = 0; number < count; ++number)
            m_judge.note_arrival(s_server, gateway, at(time));
    }

    [[nodiscard]] std::size_t broken() const { return m_judge.findings().size(); }

    RateLimitJudge m_judge;
};

}

TEST_F(RateLimitVerdicts, AllowsOneAndAHalfTimesTheRateAndFive)
{
    arrive(11, 14s);
    EXPECT_EQ(broken(), 0U);
    arrive(1, 15s);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(RateLimitVerdicts, CountsWhatCameLongerAgoNoMore)
{
    arrive(11, 14s);
    arrive(11, 18s);
    EXPECT_EQ(broken(), 0U);
}

TEST_F(RateLimitVerdicts, JudgesFromTheContactTimeOn)
{
    arrive(12, 12s);
    EXPECT_EQ(broken(), 0U);
    arrive(1, 13s);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(RateLimitVerdicts, CountsGatewaysThatPassedALimitOnHalfASecondBefore)
{
    arrive(11, 14s);
    arrive(12, 14s, "g1");
    EXPECT_EQ(broken(), 0U);
    m_judge.note_passed_on(s_server, "g1", at(13'600ms));
    EXPECT_EQ(broken(), 0U);
    m_judge.note_passed_on(s_server, "g1", at(13'500ms));
    EXPECT_EQ(broken(), 1U);
}

TEST_F(RateLimitVerdicts, LeavesOutGatewaysThatAreDisturbed)
{
    m_judge.note_disturbance(s_gateway, at(11s), at(12s));
    arrive(20, 15s);
    EXPECT_EQ(broken(), 0U);
    arrive(12, 15'001ms);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(RateLimitVerdicts, ForgetsWhatARestartedGatewayHadPassedOn)
{
    m_judge.note_restart(s_gateway, at(13s));
    arrive(12, 14s);
    EXPECT_EQ(broken(), 0U);
}

TEST_F(RateLimitVerdicts, EndsWithTheStatement)
{
    m_judge.note_stated(s_server, std::nullopt, at(13'500ms));
    arrive(12, 14s);
    EXPECT_EQ(broken(), 0U);
}

TEST_F(RateLimitVerdicts, AllowsTheHighestRateOfTheWindow)
{
    m_judge.note_stated(s_server, 0.1, at(14s));
    arrive(11, 15s);
    EXPECT_EQ(broken(), 0U);
    arrive(6, 19s);
    EXPECT_EQ(broken(), 1U);
}

}
