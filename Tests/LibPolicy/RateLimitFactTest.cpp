// Tests for merging and reporting rate limits, with answers and reports in any order.
#include <LibPolicy/RateLimitFact.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime const s_start {1h};
constexpr std::uint64_t s_server = 5;

RateLimitFact any_fact()
{
    auto const time = s_start + Core::Milliseconds(*rc::gen::inRange(0, 20));
    if (*rc::gen::inRange(0, 3) == 0)
        return RateLimitFact::unlimited(time);
    return RateLimitFact::limited(*rc::gen::inRange(1, 3), time);
}

}

RC_GTEST_PROP(RateLimitFact, MergesToTheSameInAnyOrder, ())
{
    std::vector<RateLimitFact> facts;
    for (int count = 0; count < 6; ++count)
        facts.push_back(any_fact());
    auto const merge_all = [](auto const& list) {
        auto merged = list.front();
        for (auto const& fact : list)
            merged.merge(fact);
        return merged;
    };
    auto const merged = merge_all(facts);
    std::ranges::reverse(facts);
    RC_ASSERT(merge_all(facts) == merged);
    std::rotate(facts.begin(), facts.begin() + 2, facts.end());
    RC_ASSERT(merge_all(facts) == merged);
}

TEST(RateLimitFact, DoesNotEndALimitForAnAnswerToAnEarlierRequest)
{
    auto fact = RateLimitFact::limited(1, s_start + 100ms);
    EXPECT_EQ(fact.merge(RateLimitFact::unlimited(s_start + 90ms)), FactChange::None);
    EXPECT_TRUE(fact.limit());
    EXPECT_EQ(fact.merge(RateLimitFact::unlimited(s_start + 110ms)), FactChange::Changed);
    EXPECT_FALSE(fact.limit());
}

TEST(RateLimitFact, StartsTermsAtTheFirstStatement)
{
    auto fact = RateLimitFact::limited(1, s_start + 300ms);
    fact.merge(RateLimitFact::limited(2, s_start + 200ms));
    EXPECT_EQ(fact.limit()->rate, 1);
    EXPECT_EQ(fact.limit()->since, s_start + 200ms);
    fact.merge(RateLimitFact::unlimited(s_start + 400ms));
    fact.merge(RateLimitFact::limited(1, s_start + 500ms));
    EXPECT_EQ(fact.limit()->since, s_start + 400ms);
}

TEST(RateLimitFacts, RepeatsTheReportOfAChange)
{
    RateLimitFacts facts;
    EXPECT_FALSE(facts.has_due_reports(s_start));
    EXPECT_EQ(facts.note(s_server, RateLimitFact::limited(1, s_start), s_start), FactChange::Changed);
    std::size_t report_count = 0;
    for (auto now = s_start; now < s_start + 2s; now += 10ms)
        report_count += facts.take_due_reports(now).size();
    EXPECT_EQ(report_count, RateLimitFacts::s_repetitions);
    EXPECT_FALSE(facts.has_due_reports(s_start + 2s));
}

TEST(RateLimitFacts, RefreshesAConfirmedLimit)
{
    RateLimitFacts facts;
    std::size_t report_count = 0;
    for (auto now = s_start; now < s_start + 20s; now += 100ms) {
        facts.note(s_server, RateLimitFact::limited(1, now), now);
        report_count += facts.take_due_reports(now).size();
    }
    EXPECT_EQ(report_count, RateLimitFacts::s_repetitions + 4);
}

TEST(RateLimitFacts, ForwardsReportsOfItsOwnGatewaysOnly)
{
    RateLimitFacts facts;
    facts.apply({s_server, RateLimitFact::limited(1, s_start)}, Relaying::No, s_start);
    EXPECT_TRUE(facts.find(s_server)->limit());
    EXPECT_FALSE(facts.has_due_reports(s_start));
    facts.apply({s_server, RateLimitFact::limited(2, s_start + 1ms)}, Relaying::Yes, s_start + 1ms);
    EXPECT_TRUE(facts.has_due_reports(s_start + 1ms));
}

TEST(RateLimitFacts, ForgetsUnlistedServersAndOldLimits)
{
    RateLimitFacts facts;
    auto const is_listed = [](auto) { return true; };
    auto const is_unlisted = [](auto) { return false; };
    facts.note(s_server, RateLimitFact::limited(1, s_start), s_start);
    facts.forget_old(is_listed, s_start + 1h);
    EXPECT_NE(facts.find(s_server), nullptr);
    facts.forget_old(is_unlisted, s_start + 1s);
    EXPECT_NE(facts.find(s_server), nullptr);
    facts.forget_old(is_unlisted, s_start + 1h);
    EXPECT_TRUE(facts.is_empty());
    EXPECT_FALSE(facts.has_due_reports(s_start + 1h));
    facts.note(s_server, RateLimitFact::unlimited(s_start), s_start);
    facts.forget_old(is_listed, s_start + 1s);
    EXPECT_NE(facts.find(s_server), nullptr);
    facts.forget_old(is_listed, s_start + 1h);
    EXPECT_TRUE(facts.is_empty());
}

}
