// The judge of rejections with Retry-After, on histories whose verdict is plain.
#include "BackoffJudge.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class BackoffVerdicts : public ::testing::Test {
protected:
    /// The server rejects at 10 s for 3 s: two requests are allowed from 10.5 s to 13 s.
    BackoffVerdicts() { m_judge.note_rejection("i-1", "g0", 3s, at(10s)); }

    static Core::MonotonicTime at(Core::Milliseconds time) { return Core::MonotonicTime(1h) + time; }

    void arrive(unsigned count, Core::Milliseconds time, char const* gateway = "g0", char const* server = "i-1")
    {
        for (unsigned number = 0; number < count; ++number)
            m_judge.note_arrival(server, gateway, at(time));
    }

    [[nodiscard]] std::size_t broken() const { return m_judge.findings().size(); }

    BackoffJudge m_judge;
};

}

TEST_F(BackoffVerdicts, AllowsTwoRequests)
{
    arrive(2, 11s);
    EXPECT_EQ(broken(), 0U);
    arrive(1, 12'999ms);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(BackoffVerdicts, CountsNeitherTheFirstHalfSecondNorWhatComesAfterTheEnd)
{
    arrive(9, 10'500ms);
    arrive(9, 13s);
    EXPECT_EQ(broken(), 0U);
}

TEST_F(BackoffVerdicts, BindsTheGatewayThatWasTold)
{
    arrive(9, 11s, "g1");
    arrive(9, 11s, "g0", "i-2");
    EXPECT_EQ(broken(), 0U);
}

TEST_F(BackoffVerdicts, BindsByAnswersThatAGatewayReceived)
{
    m_judge.note_answers_lost("i-1", at(9'900ms), at(12s));
    arrive(9, 11s);
    EXPECT_EQ(broken(), 0U);
    EXPECT_EQ(m_judge.counted(), 0U);
    m_judge.note_rejection("i-1", "g0", 3s, at(12'001ms));
    arrive(3, 13s);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(BackoffVerdicts, ExcusesAGatewayThatIsDisturbedMeanwhile)
{
    arrive(9, 11s);
    m_judge.note_disturbance("g0", at(8s), at(9s));
    EXPECT_EQ(broken(), 1U);
    m_judge.note_disturbance("g0", at(12s), at(12s));
    EXPECT_EQ(broken(), 0U);
    EXPECT_EQ(m_judge.counted(), 0U);
}

}
