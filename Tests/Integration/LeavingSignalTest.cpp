// Guards against requests to a server whose answers state that it is leaving while the store does not say so.
#include "SignalFleet.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t s_gateways = 4;
constexpr Core::Milliseconds s_pause {50};
/// Everybody prefers the server that leaves.
constexpr Core::Milliseconds s_quick {2};
constexpr Core::Milliseconds s_slow {40};

class LeavingSignals : public SignalFleet {
protected:
    void begin()
    {
        m_leaving = &add_backend("i-leaving", s_quick);
        add_backend("i-2", s_slow);
        add_backend("i-3", s_slow);
        start_gateways(s_gateways);
        start_callers(s_pause);
        let_pass(1s);
    }

    void end()
    {
        stop_callers();
        expect_promises_kept();
        EXPECT_EQ(m_judges.leaving.left_alone(), 1U);
        EXPECT_EQ(m_refused, 0U);
    }

    SignalBackend* m_leaving {nullptr};
};

}

TEST_F(LeavingSignals, StopRequestsWhileTheStoreSaysReady)
{
    begin();
    m_leaving->signals().state_leaving();
    let_pass(5s);
    end();
}

TEST_F(LeavingSignals, StopRequestsWhileTheStoreIsSilent)
{
    begin();
    control({{"outage", "silent"}});
    let_pass(500ms);
    m_leaving->signals().state_leaving();
    let_pass(5s);
    end();
}

TEST_F(LeavingSignals, HoldAfterTheStoreListsTheServerAgain)
{
    begin();
    m_leaving->signals().state_leaving();
    let_pass(500ms);
    remove_server("i-leaving");
    let_pass(2s);
    put_server(m_leaving->entry());
    let_pass(4s);
    end();
}

}
