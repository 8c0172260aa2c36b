// The judge of servers that leave, on histories whose verdict is plain.
#include "LeavingJudge.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

class LeavingVerdicts : public ::testing::Test {
protected:
    /// The gateway passes on at 10 s that the server leaves; what is sent after 12 s may not reach it.
    LeavingVerdicts() { m_judge.note_passed_on("i-1", "g0", at(10s)); }

    static Core::MonotonicTime at(Core::Milliseconds time) { return Core::MonotonicTime(1h) + time; }

    void request(Core::Milliseconds sent, std::string const& server = "i-1", std::string const& gateway = "g0")
    {
        auto const id = std::to_string(m_requests++);
        m_judge.note_sent(id, at(sent));
        m_judge.note_arrival(server, gateway, id);
    }

    [[nodiscard]] std::size_t broken() const { return m_judge.findings().size(); }

    LeavingJudge m_judge;
    int m_requests {0};
};

}

TEST_F(LeavingVerdicts, CountsRequestsThatWereSentAfterTheBound)
{
    request(9s);
    request(12s);
    EXPECT_EQ(broken(), 0U);
    request(12'001ms);
    EXPECT_EQ(broken(), 1U);
}

TEST_F(LeavingVerdicts, BindsTheGatewayThatWasTold)
{
    request(15s, "i-1", "g1");
    request(15s, "i-2");
    EXPECT_EQ(broken(), 0U);
    m_judge.note_passed_on("i-1", "g1", at(12s));
    EXPECT_EQ(broken(), 1U);
}

TEST_F(LeavingVerdicts, ExcusesAGatewayUntilItIsToldAgain)
{
    m_judge.note_excuse("g0", at(14s));
    request(13s);
    EXPECT_EQ(broken(), 1U);
    request(15s);
    EXPECT_EQ(broken(), 1U);
    m_judge.note_passed_on("i-1", "g0", at(16s));
    request(17s);
    EXPECT_EQ(broken(), 1U);
    request(19s);
    EXPECT_EQ(broken(), 2U);
}

}
