#include <LibGateway/SuspectedCrashes.h>

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;
using Gateway::SuspectedCrashes;

namespace {

class SuspectedCrashesTest : public ::testing::Test {
protected:
    static constexpr std::uint64_t s_life = 7;
    static constexpr Core::MonotonicTime s_listed {1h};

    static Core::MonotonicTime at(Core::Milliseconds time) { return s_listed + time; }
    static Policy::CrashWitness witness(std::string const& name, Core::Milliseconds time)
    {
        return {Core::RequestDigest::of("/", "caller", name), {s_life, 1, 1}, Policy::Exposure::Fresh, at(time)};
    }

    void add_broken(std::string const& name, Core::Milliseconds time)
    {
        static_cast<void>(m_suspected.add(witness(name, time), s_listed, at(time)));
    }
    void add_ended(std::string const& name, Core::Milliseconds time)
    {
        EXPECT_TRUE(m_suspected.add_ended(witness(name, time), s_listed));
    }

    SuspectedCrashes m_suspected;
};

}

TEST_F(SuspectedCrashesTest, KeepsBrokenAnswersOfAServerThatAcceptsConnectionsForItsReplacement)
{
    add_broken("deadly", 0ms);
    m_suspected.note_not_refused(s_life);
    EXPECT_TRUE(m_suspected.take_ended(at(2s)).empty());
    EXPECT_EQ(m_suspected.confirm(s_life, std::nullopt, at(2s)).witnesses.size(), 1U);
}

TEST_F(SuspectedCrashesTest, DropsBrokenAnswersOfAServerThatIsNotReplaced)
{
    add_broken("unlucky", 0ms);
    m_suspected.note_not_refused(s_life);
    EXPECT_TRUE(m_suspected.take_ended(at(SuspectedCrashes::s_replacement_window + 1ms)).empty());
    EXPECT_TRUE(m_suspected.confirm(s_life, std::nullopt, at(4s)).witnesses.empty());
}

TEST_F(SuspectedCrashesTest, ReturnsEndedAnswersOfAServerThatIsNotReplaced)
{
    add_ended("sound", 0ms);
    EXPECT_TRUE(m_suspected.take_ended(at(SuspectedCrashes::s_replacement_window)).empty());
    EXPECT_EQ(m_suspected.take_ended(at(SuspectedCrashes::s_replacement_window + 1ms)).size(), 1U);
    EXPECT_TRUE(m_suspected.servers().empty());
}

TEST_F(SuspectedCrashesTest, DoesNotBlameAnswersThatEndedLongBeforeTheCrash)
{
    add_ended("sound", 0ms);
    add_broken("spoiled", 0ms);
    m_suspected.note_not_refused(s_life);
    add_ended("deadly", 2s);
    auto const crash = m_suspected.confirm(s_life, std::nullopt, at(2'500ms));
    ASSERT_EQ(crash.witnesses.size(), 1U);
    EXPECT_EQ(crash.witnesses.front().digest, witness("deadly", 0ms).digest);
    ASSERT_EQ(crash.completed.size(), 1U);
    EXPECT_EQ(crash.completed.front().digest, witness("sound", 0ms).digest);
}

TEST_F(SuspectedCrashesTest, UsesTheTimeOfTheCrashThatAnotherGatewayObserved)
{
    add_ended("sound", 0ms);
    auto const crash = m_suspected.confirm(s_life, at(2s), at(2'500ms));
    EXPECT_TRUE(crash.witnesses.empty());
    EXPECT_EQ(crash.completed.size(), 1U);
}

}
