// That a dozen gateways all know which request crashes servers within the time that gateways in touch have, whatever
// happens to them and to their datagrams meanwhile. Simulated time.
#include "LoadFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Gateway {

namespace {

constexpr Core::Milliseconds s_propagation_time {3'000};

class CrashFleet : public LoadFleet {
protected:
    static Core::RequestDigest deadly() { return Core::RequestDigest::of("/deadly", "caller", "body"); }

    /// A server crashes, and that gateway had sent it the request.
    void crash_at(std::size_t gateway)
    {
        ++m_last_life;
        node(gateway).crashes.note_crash(
            {deadly(), {m_last_life, m_last_life, 1}, Policy::Exposure::Fresh, m_now}, m_now);
    }

    /// Gateways that would still send the request to a server.
    [[nodiscard]] std::vector<std::string> gateways_without_quarantine()
    {
        std::vector<std::string> names;
        for (auto const& node : m_nodes) {
            if (node->is_alive && !node->crashes.is_quarantined(deadly(), m_now))
                names.push_back(node->address);
        }
        return names;
    }

    /// The gateway's process starts anew and knows nothing.
    void restart(std::size_t number)
    {
        auto const address = node(number).address;
        m_nodes.at(number) = make_node(number);
        connect_all();
    }

    std::uint64_t m_last_life {0};
};

using NoGateways = std::vector<std::string>;

}

TEST_F(CrashFleet, AllKnowOfThreeCrashesThatThreeGatewaysSaw)
{
    for (std::size_t gateway : {3U, 7U, 11U}) {
        crash_at(gateway);
        advance(300ms);
    }
    advance(s_propagation_time - 300ms);
    EXPECT_EQ(gateways_without_quarantine(), NoGateways());
}

TEST_F(CrashFleet, AllKnowThoughThreeDatagramsInTenAreLost)
{
    m_loss = 0.3;
    for (std::size_t gateway : {3U, 7U, 11U}) {
        crash_at(gateway);
        advance(300ms);
    }
    advance(s_propagation_time - 300ms);
    EXPECT_EQ(gateways_without_quarantine(), NoGateways());
}

TEST_F(CrashFleet, AllKnowThoughTheRelayOfWhoSawItIsKilled)
{
    for (std::size_t gateway : {3U, 6U, 9U}) {
        crash_at(gateway);
        advance(100ms);
    }
    // The relay of that failure domain.
    node(0).is_alive = false;
    advance(s_propagation_time);
    EXPECT_EQ(gateways_without_quarantine(), NoGateways());
}

TEST_F(CrashFleet, AllKnowThoughWhoSawItIsKilledRightAfter)
{
    for (std::size_t gateway : {3U, 7U, 11U}) {
        crash_at(gateway);
        // It has told its relay by then, once.
        advance(LoadSharing::s_interval + s_step);
        node(gateway).is_alive = false;
    }
    advance(s_propagation_time);
    EXPECT_EQ(gateways_without_quarantine(), NoGateways());
}

TEST_F(CrashFleet, WhoBeginsLaterHearsOfIt)
{
    for (std::size_t gateway : {3U, 7U, 11U}) {
        crash_at(gateway);
        advance(300ms);
    }
    advance(s_propagation_time);
    restart(5);
    restart(0);
    EXPECT_EQ(gateways_without_quarantine().size(), 2U);
    advance(s_propagation_time);
    EXPECT_EQ(gateways_without_quarantine(), NoGateways());
}

TEST_F(CrashFleet, AGoodEndAnywhereFreesItEverywhere)
{
    for (std::size_t gateway : {3U, 7U, 11U}) {
        crash_at(gateway);
        advance(300ms);
    }
    advance(s_propagation_time);
    ASSERT_EQ(gateways_without_quarantine(), NoGateways());
    node(8).crashes.note_good_end(deadly(), m_now);
    advance(s_propagation_time);
    EXPECT_EQ(gateways_without_quarantine().size(), s_count);
    EXPECT_TRUE(node(4).crashes.is_empty());
}

// Crashes that any gateways saw, some of them at once, with up to three datagrams in ten lost, half of the gateways
// killed at one moment and two that begin anew: whoever lives knows when the contact time has passed after the last
// crash.
RC_GTEST_FIXTURE_PROP(CrashFleet, AllKnowWhateverHappensToTheFleet, (unsigned seed))
{
    std::mt19937 random(seed);
    auto const draw = [&random](std::size_t max) { return std::uniform_int_distribution<std::size_t>(0, max)(random); };
    m_loss = static_cast<double>(draw(30)) / 100;
    auto const crashes = 3 + draw(5);
    for (std::size_t count = 0; count < crashes; ++count) {
        crash_at(draw(s_count - 1));
        advance(Core::Milliseconds(100 * draw(5)));
    }
    // The last one has been told by then.
    advance(300ms);
    if (draw(1) == 1) {
        for (std::size_t number = 0; number < s_count / 2; ++number)
            node(draw(s_count - 1)).is_alive = false;
    }
    for (std::size_t number = 0; number < draw(2); ++number)
        restart(draw(s_count - 1));
    advance(s_propagation_time);
    RC_ASSERT(gateways_without_quarantine() == NoGateways());
}

}
