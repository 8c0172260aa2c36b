// Guards against gateways that together exceed the rate limit stated in the answers of a server.
#include "SignalFleet.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

/// Everybody prefers the server that states the limit.
constexpr Core::Milliseconds s_quick {2};
constexpr Core::Milliseconds s_slow {40};

class RateLimits : public SignalFleet {
protected:
    /// Three servers, of which the first states the limit, for long enough that many windows are judged.
    void play(std::size_t gateways, Core::Milliseconds pause, double rate)
    {
        auto& limited = add_backend("i-limited", s_quick);
        add_backend("i-2", s_slow);
        add_backend("i-3", s_slow);
        start_gateways(gateways);
        start_callers(pause);
        let_pass(1s);
        limited.signals().state_limit(rate);
        let_pass(12s);
        stop_callers();
        expect_promises_kept();
        EXPECT_GT(m_judges.limits.counted(), 0U);
        EXPECT_EQ(m_refused, 0U);
    }
};

}

TEST_F(RateLimits, FourGatewaysKeepALimitTogether)
{
    play(4, 100ms, 1);
}

TEST_F(RateLimits, TwentyGatewaysKeepALimitBelowOneASecond)
{
    play(20, 250ms, 0.5);
}

TEST_F(RateLimits, TheOnlyServerIsUsedByAllGateways)
{
    auto& only = add_backend("i-only", s_quick);
    start_gateways(4);
    start_callers(100ms);
    let_pass(1s);
    only.signals().state_limit(2);
    let_pass(2s);
    auto const before = only.count();
    let_pass(8s);
    auto const taken = only.count() - before;
    stop_callers();
    expect_promises_kept();
    // It accepts sixteen in this time.
    EXPECT_GE(taken, 11U);
    EXPECT_GT(m_refused, 0U);
}

TEST_F(RateLimits, TheEndOfALimitIsFoundAlthoughOthersArePreferred)
{
    auto& limited = add_backend("i-limited", s_quick);
    add_backend("i-2", s_slow);
    start_gateways(20);
    start_callers(250ms);
    let_pass(1s);
    limited.signals().state_limit(0.5);
    let_pass(3s);
    limited.set_work_time(s_slow * 2);
    limited.signals().state_limit(std::nullopt);
    // Two requests of the limit, the interval to the recheck and the way of a report.
    let_pass(6s);
    for (auto const& gateway : m_gateways) {
        auto const status = send_request(gateway.operators, "GET", "/status", "").json();
        for (auto const& server : status["backend-servers"])
            EXPECT_TRUE(server["rate-limit"].is_null()) << server;
    }
    stop_callers();
    expect_promises_kept();
}

}
