// Tests for token buckets, retry budgets, service predictions and the choice of a backend server.
#include <LibPolicy/BackendChooser.h>
#include <LibPolicy/RetryBudget.h>
#include <LibPolicy/ServicePredictor.h>
#include <LibPolicy/TokenBucket.h>

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};

BackendView make_view(std::string_view name, unsigned running, unsigned waiting)
{
    BackendView view;
    view.name = name;
    view.slots = 4;
    view.running = running;
    view.waiting_by_tier[2] = waiting;
    view.mean_service = 100ms;
    view.mean_first_token = 10ms;
    return view;
}

}

RC_GTEST_PROP(TokenBucket, NeverExceedsRateAndBurst, ())
{
    auto const rate = *rc::gen::inRange(1, 100);
    auto const burst = *rc::gen::inRange(1, 50);
    TokenBucket bucket(rate, burst);
    auto now = s_start;
    int spent = 0;
    auto const steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += Core::Milliseconds(*rc::gen::inRange(0, 40));
        if (bucket.wait_for(1, now) == 0ms) {
            bucket.charge(1, now);
            ++spent;
        }
        auto const elapsed = std::chrono::duration<double>(now - s_start).count();
        RC_ASSERT(spent <= burst + rate * elapsed + 1e-6);
    }
}

TEST(TokenBucket, ReturnsTheTimeUntilTheAmountIsAvailable)
{
    TokenBucket bucket(10, 1);
    bucket.charge(5, s_start);
    auto const wait = bucket.wait_for(1, s_start);
    EXPECT_NEAR(static_cast<double>(wait.count()), 500, 2);
    EXPECT_EQ(bucket.wait_for(1, s_start + wait), 0ms);
}

TEST(RetryBudget, LimitsRetriesToAFractionOfRequests)
{
    RetryBudget budget;
    while (budget.try_spend()) { }
    for (int request = 0; request < 100; ++request)
        budget.note_first_try();
    int retries = 0;
    while (budget.try_spend())
        ++retries;
    EXPECT_NEAR(retries, 10, 1);
}

TEST(ServicePredictor, FallsBackFromFlowToClassToAll)
{
    ServicePredictor predictor;
    for (int count = 0; count < 10; ++count)
        predictor.record("bulk", "large", {1000ms, 100ms});
    EXPECT_EQ(predictor.predict("bulk", "large").service, 1000ms);
    EXPECT_EQ(predictor.predict("bulk", "new").service, 1000ms);
    EXPECT_EQ(predictor.predict("clerk", "new").service, 1000ms);
    for (int count = 0; count < 10; ++count)
        predictor.record("clerk", "small", {50ms, 5ms});
    EXPECT_EQ(predictor.predict("clerk", "other").service, 50ms);
}

TEST(PredictedWaitChooser, PrefersTheShorterWait)
{
    PredictedWaitChooser chooser(30ms);
    std::vector<BackendView> const views {make_view("a", 4, 6), make_view("b", 4, 1), make_view("c", 4, 9)};
    EXPECT_EQ(chooser.choose({3, 0, 0}, views), 1U);
}

TEST(PredictedWaitChooser, CountsAttemptsSentSinceTheReport)
{
    PredictedWaitChooser chooser(30ms);
    std::vector<BackendView> views {make_view("a", 3, 0), make_view("b", 4, 0)};
    EXPECT_EQ(chooser.choose({3, 0, 0}, views), 0U);
    views[0].sent_by_tier[2] = 4;
    EXPECT_EQ(chooser.choose({3, 0, 0}, views), 1U);
}

TEST(PredictedWaitChooser, KeepsPrefixAffinityUntilTheWaitCostsMore)
{
    PredictedWaitChooser chooser(30ms);
    std::vector<BackendView> views {make_view("a", 0, 0), make_view("b", 0, 0), make_view("c", 0, 0)};
    auto const home = chooser.choose({3, 12345, 1024}, views);
    for (int repeat = 0; repeat < 10; ++repeat)
        EXPECT_EQ(chooser.choose({3, 12345, 1024}, views), home);
    views[home].running = 4;
    views[home].waiting_by_tier[2] = 10;
    EXPECT_NE(chooser.choose({3, 12345, 1024}, views), home);
}

TEST(PredictedWait, ReservesHeadroomForTheUrgentTier)
{
    auto view = make_view("a", 3, 0);
    view.headroom_slots = 1;
    EXPECT_EQ(predicted_wait(view, 1), 0ms);
    EXPECT_GT(predicted_wait(view, 3), 0ms);
}

}
