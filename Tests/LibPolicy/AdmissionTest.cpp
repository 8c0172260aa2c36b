// Tests for the rejection of requests and for Retry-After.
#include <LibPolicy/Admission.h>

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
std::string const s_service {"svc"};
std::string const s_urgent_class {"question"};
std::string const s_low_priority_class {"case"};
constexpr FractionalMilliseconds s_target {2'000};
constexpr FractionalMilliseconds s_caller_timeout {12'000};

AdmissionRequest urgent(FractionalMilliseconds wait)
{
    return {s_service, s_urgent_class, 0, FractionalMilliseconds(0), wait, s_target, s_caller_timeout};
}

AdmissionRequest low_priority(FractionalMilliseconds wait)
{
    return {s_service, s_low_priority_class, 2, FractionalMilliseconds(0), wait, s_target, s_caller_timeout};
}

/// Adds samples of 1.5 times the predicted wait, and of 2.6 times for three in ten.
void add_samples(Admission& admission, std::string const& request_class)
{
    for (int count = 0; count < 10; ++count)
        admission.note_wait(
            s_service, request_class, FractionalMilliseconds(1'000), FractionalMilliseconds(count < 7 ? 1'500 : 2'600));
}

Admission make_admission_with_samples()
{
    Admission admission;
    add_samples(admission, s_urgent_class);
    add_samples(admission, s_low_priority_class);
    return admission;
}

/// Predicted waits with which the estimated 80th percentile, or also the median, exceeds the target.
constexpr FractionalMilliseconds s_wait_late_at_percentile_80 {1'000};
constexpr FractionalMilliseconds s_wait_late_at_median {4'000};

}

TEST(Admission, AdmitsRequestsLikelyToMeetTheirTarget)
{
    auto admission = make_admission_with_samples();
    for (auto now = s_start; now < s_start + 10s; now += 10ms)
        EXPECT_FALSE(admission.check(low_priority(FractionalMilliseconds(500)), 0.5, now));
}

TEST(Admission, AdmitsDuringAShortPeak)
{
    auto admission = make_admission_with_samples();
    for (auto now = s_start; now < s_start + 300ms; now += 10ms)
        EXPECT_FALSE(admission.check(low_priority(s_wait_late_at_percentile_80), 0.5, now));
    EXPECT_FALSE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start + 310ms));
    EXPECT_FALSE(admission.check(low_priority(s_wait_late_at_percentile_80), 0.5, s_start + 500ms));
}

TEST(Admission, RejectsWhileAShortageLasts)
{
    auto admission = make_admission_with_samples();
    static_cast<void>(admission.check(low_priority(s_wait_late_at_percentile_80), 0.5, s_start));
    EXPECT_TRUE(admission.check(low_priority(s_wait_late_at_percentile_80), 0.5, s_start + 500ms));
    EXPECT_FALSE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start + 600ms));
}

TEST(Admission, RejectsAtOnceIfTheMedianWaitExceedsTheTarget)
{
    auto admission = make_admission_with_samples();
    EXPECT_TRUE(admission.check(low_priority(s_wait_late_at_median), 0.5, s_start));
}

TEST(Admission, AdmitsUrgentRequestsWhileALowerRankIsAdmitted)
{
    auto admission = make_admission_with_samples();
    EXPECT_FALSE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start));
    EXPECT_FALSE(admission.check(urgent(s_wait_late_at_median), 0.5, s_start + 10ms));
    // Lower ranks are closed from now on.
    EXPECT_TRUE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start + 20ms));
    EXPECT_TRUE(admission.check(urgent(s_wait_late_at_median), 0.5, s_start + 20ms + Admission::s_closure_time));
}

// Guards against closing all ranks below a late one at the same moment: requests of a middle rank were rejected
// although requests of a lower rank had been admitted shortly before.
TEST(Admission, ClosesAPriorityOnlyAfterAllLowerOnes)
{
    auto admission = make_admission_with_samples();
    AdmissionRequest const draft {s_service, s_low_priority_class, 1, FractionalMilliseconds(0),
        FractionalMilliseconds(100), s_target, s_caller_timeout};
    EXPECT_FALSE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start));
    static_cast<void>(admission.check(urgent(s_wait_late_at_median), 0.5, s_start + 10ms));
    EXPECT_TRUE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start + 20ms));
    for (auto now = s_start + 20ms; now < s_start + Admission::s_closure_time; now += 40ms) {
        static_cast<void>(admission.check(urgent(s_wait_late_at_median), 0.5, now));
        EXPECT_FALSE(admission.check(draft, 0.5, now));
    }
    // Closing only the lowest rank was not enough.
    static_cast<void>(admission.check(urgent(s_wait_late_at_median), 0.5, s_start + Admission::s_closure_time));
    EXPECT_TRUE(admission.check(draft, 0.5, s_start + Admission::s_closure_time));
}

TEST(Admission, AdmitsSomeRequestsOfAClosedRank)
{
    auto admission = make_admission_with_samples();
    unsigned admitted = 0;
    constexpr unsigned request_count = 400;
    for (unsigned count = 0; count < request_count; ++count) {
        auto const now = s_start + 10ms * count;
        static_cast<void>(admission.check(urgent(s_wait_late_at_median), 0.5, now));
        admitted += admission.check(low_priority(FractionalMilliseconds(100)), 0.5, now) ? 0 : 1;
    }
    EXPECT_GE(admitted, request_count / Admission::s_floor_interval - 1);
}

// Guards against a gateway that has just started and rejects by its initial factors requests that engines would have
// started in time, and closes the ranks below for them. Rejected requests yield no samples that would correct the
// factors.
TEST(Admission, DoesNotRejectByAnEstimateWithoutSamples)
{
    Admission admission;
    for (unsigned count = 0; count < Admission::s_max_trials; ++count) {
        EXPECT_FALSE(admission.check(urgent(s_wait_late_at_median), 0.5, s_start + 10ms * count));
        EXPECT_FALSE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start + 10ms * count));
    }
    // By now quick answers to the trials would have yielded samples.
    static_cast<void>(admission.check(urgent(s_wait_late_at_median), 0.5, s_start + 200ms));
    EXPECT_TRUE(admission.check(low_priority(FractionalMilliseconds(100)), 0.5, s_start + 210ms));
}

// Guards against estimates that adapt too slowly: the factor for the 80th percentile fell by one percent with each
// answer, although all answers took a fifth of the estimated time.
TEST(Admission, FirstSamplesSetTheEstimateDirectly)
{
    Admission admission;
    for (int count = 0; count < 5; ++count)
        admission.note_wait(
            s_service, s_low_priority_class, FractionalMilliseconds(1'000), FractionalMilliseconds(180 + 10 * count));
    for (auto now = s_start; now < s_start + 2s; now += 10ms)
        EXPECT_FALSE(admission.check(low_priority(s_wait_late_at_median), 0.5, now));
}

TEST(Admission, IgnoresRanksOfOtherServices)
{
    auto admission = make_admission_with_samples();
    std::string const other {"other"};
    AdmissionRequest const other_service_request {other, s_low_priority_class, 2, FractionalMilliseconds(0),
        FractionalMilliseconds(100), s_target, s_caller_timeout};
    static_cast<void>(admission.check(urgent(s_wait_late_at_median), 0.5, s_start));
    EXPECT_FALSE(admission.check(other_service_request, 0.5, s_start));
}

TEST(Admission, CorrectsPredictionsForEachClass)
{
    Admission admission;
    add_samples(admission, s_low_priority_class);
    for (int count = 0; count < 40; ++count)
        admission.note_wait(s_service, s_urgent_class, FractionalMilliseconds(4'000), FractionalMilliseconds(400));
    EXPECT_FALSE(admission.check(urgent(s_wait_late_at_median), 0.5, s_start));
    // The correction applies to that class alone.
    EXPECT_TRUE(admission.check(low_priority(s_wait_late_at_median), 0.5, s_start + 10ms));
}

TEST(Admission, SpreadsRetryAfterOfSimultaneousRejections)
{
    auto admission = make_admission_with_samples();
    std::set<std::int64_t> times;
    for (int draw = 0; draw < 10; ++draw)
        times.insert(admission.check(low_priority(s_wait_late_at_median), draw / 10.0, s_start)->retry_after.count());
    EXPECT_EQ(times.size(), 10U);
    EXPECT_GE(*times.rbegin() - *times.begin(), 500);
}

TEST(Admission, RetryAfterGrowsWithTheShortage)
{
    auto admission = make_admission_with_samples();
    static_cast<void>(admission.check(low_priority(s_wait_late_at_percentile_80), 0.5, s_start));
    auto const first = admission.check(low_priority(s_wait_late_at_percentile_80), 0.5, s_start + 500ms)->retry_after;
    auto const later = admission.check(low_priority(s_wait_late_at_percentile_80), 0.5, s_start + 2s)->retry_after;
    EXPECT_GT(later, first);
}

RC_GTEST_PROP(Admission, RetryAfterIsWithinTheCallersTimeout, ())
{
    auto admission = make_admission_with_samples();
    auto const caller_timeout = FractionalMilliseconds(*rc::gen::inRange(1'000, 20'000));
    auto const wait = FractionalMilliseconds(*rc::gen::inRange(4'000, 60'000));
    AdmissionRequest const request {
        s_service, s_low_priority_class, 2, FractionalMilliseconds(0), wait, s_target, caller_timeout};
    auto const rejection = admission.check(request, *rc::gen::inRange(0, 1'000) / 1'000.0, s_start);
    RC_ASSERT(rejection.has_value());
    RC_ASSERT(rejection->retry_after >= 250ms);
    RC_ASSERT(rejection->retry_after <= std::max(FractionalMilliseconds(600), caller_timeout / 3));
}

}
