// A server rejected requests with 503 and Retry-After, and its gateways sent it more before that time was over, or none
// for long afterwards.
#include "SignalFleet.h"

#include <gtest/gtest.h>

namespace GraniteField::Testing {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t s_gateways = 4;
constexpr Core::Milliseconds s_pause {50};
constexpr Core::Milliseconds s_work_time {10};
constexpr Core::Milliseconds s_rest {1'700};

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

    void expect_rests_kept()
    {
        stop_callers();
        expect_promises_kept();
        EXPECT_GT(m_judges.backoffs.counted(), 0U);
    }
};

}

TEST_F(Backoffs, AreKeptWhileAllServersRest)
{
    begin();
    for (auto const& backend : m_backends)
        backend->signals().reject_for(s_rest);
    let_pass(6s);
    for (auto const& backend : m_backends)
        backend->signals().reject_for(std::nullopt);
    let_pass(s_rest + 1s);
    unsigned const served = m_served;
    let_pass(1s);
    EXPECT_GT(m_served, served);
    expect_rests_kept();
}

TEST_F(Backoffs, AreKeptForAFractionOfASecond)
{
    begin();
    for (auto const& backend : m_backends)
        backend->signals().reject_for(700ms);
    let_pass(4s);
    expect_rests_kept();
}

TEST_F(Backoffs, EndWhenTheServerSaidSo)
{
    begin();
    auto& resting = *m_backends.front();
    // One that everybody would prefer.
    resting.set_work_time(1ms);
    let_pass(1s);
    resting.signals().reject_for(s_rest);
    let_pass(4s);
    resting.signals().reject_for(std::nullopt);
    let_pass(s_rest + 500ms);
    auto const before = resting.count();
    let_pass(2s);
    EXPECT_GT(resting.count(), before);
    expect_rests_kept();
    EXPECT_EQ(m_refused, 0U);
}

}
