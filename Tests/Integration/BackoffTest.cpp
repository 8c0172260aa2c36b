// Guards against requests during the Retry-After of a server, and against avoiding the server for longer.
#include "SignalFleet.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t s_gateways = 4;
constexpr Core::Milliseconds s_pause {50};
constexpr Core::Milliseconds s_work_time {10};
constexpr Core::Milliseconds s_backoff {1'700};

class Backoffs : public SignalFleet {
protected:
    void begin()
    {
        for (auto const* name : {"i-1", "i-2", "i-3"})
            add_backend(name, s_work_time);
        start_gateways(s_gateways);
        start_callers(s_pause);
        let_pass(1s);
    }

    void expect_backoffs_kept()
    {
        stop_callers();
        expect_promises_kept();
        EXPECT_GT(m_judges.backoffs.counted(), 0U);
    }
};

}

TEST_F(Backoffs, HoldWhileAllServersReject)
{
    begin();
    for (auto const& backend : m_backends)
        backend->signals().reject_for(s_backoff);
    let_pass(6s);
    for (auto const& backend : m_backends)
        backend->signals().reject_for(std::nullopt);
    let_pass(s_backoff + 1s);
    unsigned const served = m_served;
    let_pass(1s);
    EXPECT_GT(m_served, served);
    expect_backoffs_kept();
}

TEST_F(Backoffs, HoldForAFractionOfASecond)
{
    begin();
    for (auto const& backend : m_backends)
        backend->signals().reject_for(700ms);
    let_pass(4s);
    expect_backoffs_kept();
}

TEST_F(Backoffs, EndAtTheStatedTime)
{
    begin();
    auto& rejecting = *m_backends.front();
    // One that everybody would prefer.
    rejecting.set_work_time(1ms);
    let_pass(1s);
    rejecting.signals().reject_for(s_backoff);
    let_pass(4s);
    rejecting.signals().reject_for(std::nullopt);
    let_pass(s_backoff + 500ms);
    auto const before = rejecting.count();
    let_pass(2s);
    EXPECT_GT(rejecting.count(), before);
    expect_backoffs_kept();
    EXPECT_EQ(m_refused, 0U);
}

}
