#include <LibGateway/UnreadSends.h>

#include <memory>

#include <gtest/gtest.h>

namespace GraniteField::Gateway {

using namespace std::chrono_literals;

namespace {

class UnreadSendsTest : public ::testing::Test {
protected:
    static Core::MonotonicTime at(Core::Milliseconds time) { return Core::MonotonicTime(1h) + time; }

    void add(Core::Address const& address, Core::Milliseconds sent)
    {
        m_sends.add(address, at(sent), {Policy::RetryCharge(m_charges, Policy::RetryCharge::Source::Earned)});
    }

    Core::Address m_stalled {*Core::Address::from_string("127.0.0.1:1")};
    Core::Address m_other {*Core::Address::from_string("127.0.0.1:2")};
    std::shared_ptr<Policy::RetryChargeCounts> m_charges {std::make_shared<Policy::RetryChargeCounts>()};
    UnreadSends m_sends;
};

}

TEST_F(UnreadSendsTest, KeepsChargesUntilTheServerAnswersALaterRequest)
{
    add(m_stalled, 1s);
    m_sends.note_answered(m_other, at(2s));
    // Sent before, so it may have been read while the later request was not.
    m_sends.note_answered(m_stalled, at(500ms));
    EXPECT_EQ(m_charges->earned, 1U);
    m_sends.note_answered(m_stalled, at(2s));
    EXPECT_EQ(m_charges->earned, 0U);
    EXPECT_EQ(m_charges->settled, 1U);
}

TEST_F(UnreadSendsTest, ExpiresSendsThatAreExpectedToBeLost)
{
    add(m_stalled, 0s);
    add(m_stalled, 10s);
    m_sends.drop_expired(at(UnreadSends::s_max_age + 1s));
    EXPECT_EQ(m_sends.count(), 1U);
    EXPECT_EQ(m_charges->earned, 1U);
}

}
