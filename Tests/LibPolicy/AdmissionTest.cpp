// When a request is refused, and when it is told to come back.
#include <LibPolicy/Admission.h>

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
std::string const s_service {"svc"};
std::string const s_urgent {"question"};
std::string const s_patient {"case"};
constexpr FineTime s_target {2'000};
constexpr FineTime s_patience {12'000};

AdmissionQuestion urgent(FineTime wait)
{
    return {s_service, s_urgent, 0, FineTime(0), wait, s_target, s_patience};
}

AdmissionQuestion patient(FineTime wait)
{
    return {s_service, s_patient, 2, FineTime(0), wait, s_target, s_patience};
}

/// Requests of the class have waited for 1.5 times as long as predicted, two of ten for 2.6 times.
void teach(Admission& admission, std::string const& request_class)
{
    for (int count = 0; count < 10; ++count)
        admission.note_wait(s_service, request_class, FineTime(1'000), FineTime(count < 7 ? 1'500 : 2'600));
}

Admission make_taught()
{
    Admission admission;
    teach(admission, s_urgent);
    teach(admission, s_patient);
    return admission;
}

/// Longer than most would survive, and no longer than the middle does.
constexpr FineTime s_long_wait {1'000};
constexpr FineTime s_hopeless_wait {4'000};

}

TEST(Admission, TakesWhatIsLikelyToBeginInTime)
{
    auto admission = make_taught();
    for (auto now = s_start; now < s_start + 10s; now += 10ms)
        EXPECT_FALSE(admission.refuse(patient(FineTime(500)), 0.5, now));
}

TEST(Admission, LetsAShortPeakPass)
{
    auto admission = make_taught();
    for (auto now = s_start; now < s_start + 300ms; now += 10ms)
        EXPECT_FALSE(admission.refuse(patient(s_long_wait), 0.5, now));
    EXPECT_FALSE(admission.refuse(patient(FineTime(100)), 0.5, s_start + 310ms));
    EXPECT_FALSE(admission.refuse(patient(s_long_wait), 0.5, s_start + 500ms));
}

TEST(Admission, RefusesWhileAShortageLasts)
{
    auto admission = make_taught();
    static_cast<void>(admission.refuse(patient(s_long_wait), 0.5, s_start));
    EXPECT_TRUE(admission.refuse(patient(s_long_wait), 0.5, s_start + 500ms));
    EXPECT_FALSE(admission.refuse(patient(FineTime(100)), 0.5, s_start + 600ms));
}

TEST(Admission, RefusesAtOnceWhatIsHopeless)
{
    auto admission = make_taught();
    EXPECT_TRUE(admission.refuse(patient(s_hopeless_wait), 0.5, s_start));
}

TEST(Admission, NoUrgentRequestIsRefusedWhileALowerRankIsTaken)
{
    auto admission = make_taught();
    EXPECT_FALSE(admission.refuse(patient(FineTime(100)), 0.5, s_start));
    EXPECT_FALSE(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start + 10ms));
    // Those of a lower rank make room from now on.
    EXPECT_TRUE(admission.refuse(patient(FineTime(100)), 0.5, s_start + 20ms));
    EXPECT_TRUE(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start + 20ms + Admission::s_closure));
}

// All ranks below one that was expected to be late closed at the same moment, so that reports were refused although
// cases of a lower rank had been taken a moment before.
TEST(Admission, ClosesAPriorityOnlyAfterAllLowerOnes)
{
    auto admission = make_taught();
    AdmissionQuestion const draft {s_service, s_patient, 1, FineTime(0), FineTime(100), s_target, s_patience};
    EXPECT_FALSE(admission.refuse(patient(FineTime(100)), 0.5, s_start));
    static_cast<void>(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start + 10ms));
    EXPECT_TRUE(admission.refuse(patient(FineTime(100)), 0.5, s_start + 20ms));
    for (auto now = s_start + 20ms; now < s_start + Admission::s_closure; now += 40ms) {
        static_cast<void>(admission.refuse(urgent(s_hopeless_wait), 0.5, now));
        EXPECT_FALSE(admission.refuse(draft, 0.5, now));
    }
    // Closing the lowest one did not suffice.
    static_cast<void>(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start + Admission::s_closure));
    EXPECT_TRUE(admission.refuse(draft, 0.5, s_start + Admission::s_closure));
}

TEST(Admission, ALowerRankIsNeverShutOutForLong)
{
    auto admission = make_taught();
    unsigned taken = 0;
    constexpr unsigned asked = 400;
    for (unsigned count = 0; count < asked; ++count) {
        auto const now = s_start + 10ms * count;
        static_cast<void>(admission.refuse(urgent(s_hopeless_wait), 0.5, now));
        taken += admission.refuse(patient(FineTime(100)), 0.5, now) ? 0 : 1;
    }
    EXPECT_GE(taken, asked / Admission::s_floor - 1);
}

// A gateway that had just begun refused by a guess what engines would have begun in time, and closed the ranks below
// for it; who is refused teaches nothing.
TEST(Admission, DoesNotRejectByAnEstimateWithoutSamples)
{
    Admission admission;
    for (unsigned count = 0; count < Admission::s_trials; ++count) {
        EXPECT_FALSE(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start + 10ms * count));
        EXPECT_FALSE(admission.refuse(patient(FineTime(100)), 0.5, s_start + 10ms * count));
    }
    // By then their answers would have come, were they quick.
    static_cast<void>(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start + 200ms));
    EXPECT_TRUE(admission.refuse(patient(FineTime(100)), 0.5, s_start + 210ms));
}

// The factor that decides of a shortage came down by one in a hundred with each answer, also where all answers came in
// a fifth of the time that was guessed.
TEST(Admission, TheFirstAnswersAreBelievedAtOnce)
{
    Admission admission;
    for (int count = 0; count < 5; ++count)
        admission.note_wait(s_service, s_patient, FineTime(1'000), FineTime(180 + 10 * count));
    for (auto now = s_start; now < s_start + 2s; now += 10ms)
        EXPECT_FALSE(admission.refuse(patient(s_hopeless_wait), 0.5, now));
}

TEST(Admission, RanksOfAnotherServiceDoNotMatter)
{
    auto admission = make_taught();
    std::string const other {"other"};
    AdmissionQuestion const elsewhere {other, s_patient, 2, FineTime(0), FineTime(100), s_target, s_patience};
    static_cast<void>(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start));
    EXPECT_FALSE(admission.refuse(elsewhere, 0.5, s_start));
}

TEST(Admission, LearnsThatUrgentRequestsWaitLessThanPredicted)
{
    Admission admission;
    teach(admission, s_patient);
    for (int count = 0; count < 40; ++count)
        admission.note_wait(s_service, s_urgent, FineTime(4'000), FineTime(400));
    EXPECT_FALSE(admission.refuse(urgent(s_hopeless_wait), 0.5, s_start));
    // What it learned holds for that class alone.
    EXPECT_TRUE(admission.refuse(patient(s_hopeless_wait), 0.5, s_start + 10ms));
}

TEST(Admission, ThoseRefusedTogetherDoNotComeBackTogether)
{
    auto admission = make_taught();
    std::set<std::int64_t> times;
    for (int draw = 0; draw < 10; ++draw)
        times.insert(admission.refuse(patient(s_hopeless_wait), draw / 10.0, s_start)->retry_after.count());
    EXPECT_EQ(times.size(), 10U);
    EXPECT_GE(*times.rbegin() - *times.begin(), 500);
}

TEST(Admission, TheLongerAShortageLastsTheLaterTheyComeBack)
{
    auto admission = make_taught();
    static_cast<void>(admission.refuse(patient(s_long_wait), 0.5, s_start));
    auto const first = admission.refuse(patient(s_long_wait), 0.5, s_start + 500ms)->retry_after;
    auto const later = admission.refuse(patient(s_long_wait), 0.5, s_start + 2s)->retry_after;
    EXPECT_GT(later, first);
}

RC_GTEST_PROP(Admission, TheTimeToComeBackIsOneThatCallersHonour, ())
{
    auto admission = make_taught();
    auto const patience = FineTime(*rc::gen::inRange(1'000, 20'000));
    auto const wait = FineTime(*rc::gen::inRange(4'000, 60'000));
    AdmissionQuestion const question {s_service, s_patient, 2, FineTime(0), wait, s_target, patience};
    auto const refusal = admission.refuse(question, *rc::gen::inRange(0, 1'000) / 1'000.0, s_start);
    RC_ASSERT(refusal.has_value());
    RC_ASSERT(refusal->retry_after >= 250ms);
    RC_ASSERT(refusal->retry_after <= std::max(FineTime(600), patience / 3));
}

}
