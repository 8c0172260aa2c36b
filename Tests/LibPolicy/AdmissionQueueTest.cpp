#include <LibPolicy/AdmissionQueue.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Policy {

using namespace std::chrono_literals;

namespace {

Core::MonotonicTime at(Core::Milliseconds offset)
{
    return Core::MonotonicTime(1h) + offset;
}

Work make_work(std::uint64_t number, unsigned tier, Core::MonotonicTime now, unsigned floor_percent = 0)
{
    Work work;
    work.key = {{1, number}, Core::AttemptNumber(1)};
    work.tier = tier;
    work.request_class = Core::concat("class-", tier);
    work.floor_percent = floor_percent;
    work.workspace = Core::concat("workspace-", number % 3);
    work.target = now + 1s;
    work.start_deadline = now + 1h;
    work.expected_service = 100ms;
    return work;
}

/// Tiers of the waiting attempts, tracked independently from the queue's results.
using Waiting = std::map<AttemptKey, unsigned>;

bool is_lower_tier_waiting(Waiting const& waiting, unsigned tier)
{
    return std::ranges::any_of(waiting, [tier](auto const& item) { return item.second > tier; });
}

bool is_higher_tier_waiting(Waiting const& waiting, unsigned tier)
{
    return std::ranges::any_of(waiting, [tier](auto const& item) { return item.second < tier; });
}

}

RC_GTEST_PROP(AdmissionQueue, NeverRefusesAHigherTierWhileALowerOneWaits, ())
{
    QueueLimits const limits {*rc::gen::inRange(1U, 5U), *rc::gen::inRange(1U, 9U), 0};
    auto const floors = *rc::gen::container<std::vector<unsigned>>(6, rc::gen::inRange(0U, 9U));
    AdmissionQueue<TieredDiscipline> queue(limits);
    Waiting waiting;
    std::deque<AttemptKey> running;
    auto now = at(0ms);
    auto const steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += Core::Milliseconds(*rc::gen::inRange(0, 50));
        auto const action = *rc::gen::inRange(0, 10);
        if (action < 6) {
            auto const tier = *rc::gen::inRange(1U, 7U);
            auto const work = make_work(static_cast<std::uint64_t>(step), tier, now, floors[tier - 1]);
            auto const offer = queue.offer(work, now);
            if (offer.refusal) {
                RC_ASSERT(*offer.refusal == Refusal::QueueFull);
                RC_ASSERT(!is_lower_tier_waiting(waiting, tier));
                RC_ASSERT(offer.retry_after.count() > 0);
                RC_ASSERT(!offer.displaced);
            } else {
                waiting[work.key] = tier;
            }
            if (offer.displaced) {
                RC_ASSERT(offer.displaced->tier > tier);
                RC_ASSERT(waiting.erase(offer.displaced->key) == 1U);
                RC_ASSERT(!is_lower_tier_waiting(waiting, offer.displaced->tier));
            }
        } else if (action < 9 && !running.empty()) {
            queue.finish(running.front(), now);
            running.pop_front();
        } else if (!waiting.empty()) {
            auto const key = waiting.begin()->first;
            RC_ASSERT(queue.withdraw(key, now).has_value());
            waiting.erase(key);
        }
        while (auto const start = queue.next(now)) {
            RC_ASSERT(waiting.erase(start->work.key) == 1U);
            if (start->reason == StartReason::Order)
                RC_ASSERT(!is_higher_tier_waiting(waiting, start->work.tier));
            running.push_back(start->work.key);
        }
        RC_ASSERT(queue.running_count() == running.size());
        RC_ASSERT(running.size() <= limits.slots);
        RC_ASSERT(queue.waiting_count() == waiting.size());
        RC_ASSERT(waiting.size() <= limits.queue_limit + limits.slots);
    }
}

RC_GTEST_PROP(AdmissionQueue, SuspendsOnlyForHigherTiersAndLosesNoAttempt, ())
{
    QueueLimits const limits {*rc::gen::inRange(1U, 4U), *rc::gen::inRange(1U, 6U), 0};
    AdmissionQueue<TieredDiscipline> queue(limits);
    std::map<AttemptKey, unsigned> waiting;
    std::map<AttemptKey, unsigned> running;
    std::set<AttemptKey> started;
    auto now = at(0ms);
    auto const steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += Core::Milliseconds(*rc::gen::inRange(0, 300));
        if (*rc::gen::inRange(0, 3) > 0) {
            auto const tier = *rc::gen::inRange(1U, 7U);
            auto work = make_work(static_cast<std::uint64_t>(step), tier, now);
            work.is_preemptible = *rc::gen::arbitrary<bool>();
            work.target = now + Core::Milliseconds(*rc::gen::inRange(0, 400));
            auto const offer = queue.offer(work, now);
            if (!offer.refusal)
                waiting[work.key] = tier;
            if (offer.displaced) {
                RC_ASSERT(!started.contains(offer.displaced->key));
                RC_ASSERT(waiting.erase(offer.displaced->key) == 1U);
            }
        } else if (!running.empty()) {
            queue.finish(running.begin()->first, now);
            running.erase(running.begin());
        }
        while (auto const key = queue.next_preemption(now)) {
            auto const tier = running.at(*key);
            RC_ASSERT(is_higher_tier_waiting(waiting, tier));
            queue.suspend(*key, now);
            running.erase(*key);
            waiting[*key] = tier;
        }
        while (auto const start = queue.next(now)) {
            RC_ASSERT(waiting.erase(start->work.key) == 1U);
            running[start->work.key] = start->work.tier;
            started.insert(start->work.key);
        }
        RC_ASSERT(queue.running_count() == running.size());
        RC_ASSERT(queue.waiting_count() == waiting.size());
        RC_ASSERT(running.size() <= limits.slots);
        for (auto const& expiry : queue.expire(now + 1h))
            RC_ASSERT(!started.contains(expiry.work.key) && waiting.erase(expiry.work.key) == 1U);
    }
}

namespace {

struct BurstResult {
    double bulk_share {0};
    Core::Milliseconds max_bulk_gap {0};
    unsigned urgent_refused_while_bulk_waited {0};
    double urgent_share {0};
};

/// Offers urgent work at twice the capacity for a minute; bulk callers retry after the stated delay.
template <typename Rules>
BurstResult run_burst(unsigned slots, unsigned floor_percent)
{
    constexpr auto s_service = 100ms;
    constexpr auto s_length = 60'000ms;
    AdmissionQueue<Rules> queue({slots, 20, 0});
    std::multimap<Core::MonotonicTime, std::pair<AttemptKey, unsigned>> ends;
    std::multimap<Core::MonotonicTime, int> bulk_retries;
    for (int caller = 0; caller < 4; ++caller)
        bulk_retries.emplace(at(0ms), caller);
    BurstResult result;
    std::uint64_t number = 0;
    auto last_bulk_start = at(0ms);
    unsigned bulk_starts = 0;
    unsigned urgent_starts = 0;
    for (auto now = at(0ms); now < at(s_length); now += 1ms) {
        while (!ends.empty() && ends.begin()->first <= now) {
            queue.finish(ends.begin()->second.first, now);
            if (ends.begin()->second.second == 5)
                bulk_retries.emplace(now, 0);
            ends.erase(ends.begin());
        }
        auto const offer = [&](unsigned tier) {
            auto const made = queue.offer(make_work(++number, tier, now, tier == 5 ? floor_percent : 0), now);
            if (made.displaced && made.displaced->tier == 5)
                bulk_retries.emplace(now + made.retry_after, 0);
            if (made.refusal && tier == 5)
                bulk_retries.emplace(now + made.retry_after, 0);
            if (made.refusal && tier == 1 && queue.waiting_count(5) > 0)
                ++result.urgent_refused_while_bulk_waited;
        };
        // Twice the capacity of the slots.
        auto const elapsed = (now - at(0ms)) / 1ms;
        if (elapsed % (s_service.count() / (2 * slots)) == 0)
            offer(1);
        while (!bulk_retries.empty() && bulk_retries.begin()->first <= now) {
            bulk_retries.erase(bulk_retries.begin());
            offer(5);
        }
        while (auto const start = queue.next(now)) {
            ends.emplace(now + s_service, std::pair(start->work.key, start->work.tier));
            if (start->work.tier != 5) {
                ++urgent_starts;
                continue;
            }
            ++bulk_starts;
            result.max_bulk_gap
                = std::max(result.max_bulk_gap, std::chrono::duration_cast<Core::Milliseconds>(now - last_bulk_start));
            last_bulk_start = now;
        }
    }
    auto const capacity = static_cast<double>(slots) * s_length.count() / s_service.count();
    result.bulk_share = bulk_starts / capacity;
    result.urgent_share = urgent_starts / capacity;
    result.max_bulk_gap
        = std::max(result.max_bulk_gap, std::chrono::duration_cast<Core::Milliseconds>(at(s_length) - last_bulk_start));
    return result;
}

}

TEST(AdmissionQueue, FloorsKeepBulkWorkRunningDuringALongBurst)
{
    auto const result = run_burst<TieredDiscipline>(4, 10);
    EXPECT_GE(result.bulk_share, 0.09);
    EXPECT_LE(result.max_bulk_gap, 2s);
    EXPECT_EQ(result.urgent_refused_while_bulk_waited, 0U);
    // The floor and the slots held for it cost the urgent class at most the floor.
    EXPECT_GE(result.urgent_share, 0.88);
}

TEST(AdmissionQueue, WithoutFloorsBulkWorkStarves)
{
    auto const result = run_burst<BareTierDiscipline>(4, 10);
    EXPECT_LT(result.bulk_share, 0.01);
}

TEST(AdmissionQueue, StartsTheEarliestTargetOfATierFirst)
{
    AdmissionQueue<TieredDiscipline> queue({1, 10, 0});
    auto const now = at(0ms);
    ASSERT_FALSE(queue.offer(make_work(1, 2, now), now).refusal);
    ASSERT_TRUE(queue.next(now));
    auto late = make_work(2, 2, now);
    late.target = now + 10s;
    auto early = make_work(3, 2, now + 1ms);
    early.target = now + 1s;
    ASSERT_FALSE(queue.offer(late, now).refusal);
    ASSERT_FALSE(queue.offer(early, now + 1ms).refusal);
    queue.finish(make_work(1, 2, now).key, now + 5ms);
    auto const start = queue.next(now + 5ms);
    ASSERT_TRUE(start);
    EXPECT_EQ(start->work.key, early.key);
}

TEST(AdmissionQueue, WorkspaceAboveItsShareWaitsBehindOthers)
{
    AdmissionQueue<TieredDiscipline> queue({1, 100, 0});
    auto const now = at(0ms);
    auto work = make_work(0, 3, now);
    work.workspace = "large";
    ASSERT_FALSE(queue.offer(work, now).refusal);
    ASSERT_TRUE(queue.next(now));
    for (std::uint64_t number = 1; number <= 20; ++number) {
        work = make_work(number, 3, now);
        work.workspace = "large";
        ASSERT_FALSE(queue.offer(work, now).refusal);
    }
    auto small = make_work(50, 3, now + 1ms);
    small.workspace = "small";
    ASSERT_FALSE(queue.offer(small, now + 1ms).refusal);
    queue.finish(make_work(0, 3, now).key, now + 2ms);
    unsigned position = 0;
    for (auto start = queue.next(now + 2ms); start; start = queue.next(now + 2ms)) {
        ++position;
        if (start->work.key == small.key)
            break;
        queue.finish(start->work.key, now + 2ms);
    }
    EXPECT_LE(position, 3U);
}

TEST(AdmissionQueue, ReservesHeadroomForTheUrgentTier)
{
    AdmissionQueue<TieredDiscipline> queue({3, 10, 1});
    auto const now = at(0ms);
    for (std::uint64_t number = 0; number < 5; ++number)
        ASSERT_FALSE(queue.offer(make_work(number, 3, now), now).refusal);
    EXPECT_TRUE(queue.next(now));
    EXPECT_TRUE(queue.next(now));
    EXPECT_FALSE(queue.next(now));
    ASSERT_FALSE(queue.offer(make_work(10, 1, now), now).refusal);
    auto const start = queue.next(now);
    ASSERT_TRUE(start);
    EXPECT_EQ(start->work.tier, 1U);
}

TEST(AdmissionQueue, RefusesAttemptsThatCannotMeetTheirTargetWithRetryAfter)
{
    AdmissionQueue<TieredDiscipline> queue({1, 100, 0});
    auto now = at(0ms);
    for (std::uint64_t number = 0; number < 20; ++number) {
        ASSERT_FALSE(queue.offer(make_work(number, 2, now), now).refusal);
        ASSERT_TRUE(queue.next(now));
        now += 100ms;
        queue.finish(make_work(number, 2, now).key, now);
    }
    ASSERT_FALSE(queue.offer(make_work(99, 2, now), now).refusal);
    ASSERT_TRUE(queue.next(now));
    std::optional<OfferResult> refused;
    for (std::uint64_t number = 100; number < 150 && !refused; ++number) {
        auto work = make_work(number, 2, now);
        work.should_refuse_late = true;
        auto offer = queue.offer(work, now);
        if (offer.refusal)
            refused = offer;
    }
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->refusal, Refusal::TargetOutOfReach);
    // Ten attempts of 100 ms fit before a target of one second.
    EXPECT_NEAR(static_cast<double>(queue.waiting_count()), 9, 2);
    EXPECT_LE(refused->retry_after, 500ms);
}

TEST(AdmissionQueue, SimultaneousArrivalsFillSlotsAndQueue)
{
    AdmissionQueue<TieredDiscipline> queue({2, 6, 0});
    auto const now = at(0ms);
    for (std::uint64_t number = 0; number < 8; ++number)
        EXPECT_FALSE(queue.offer(make_work(number, 6, now), now).refusal) << number;
    EXPECT_EQ(queue.offer(make_work(8, 6, now), now).refusal, Refusal::QueueFull);
    EXPECT_TRUE(queue.next(now));
    EXPECT_TRUE(queue.next(now));
    EXPECT_FALSE(queue.next(now));
    EXPECT_EQ(queue.waiting_count(), 6U);
}

TEST(AdmissionQueue, ExpiresAttemptsAtTheirStartDeadline)
{
    AdmissionQueue<TieredDiscipline> queue({1, 10, 0});
    auto const now = at(0ms);
    ASSERT_FALSE(queue.offer(make_work(1, 2, now), now).refusal);
    ASSERT_TRUE(queue.next(now));
    auto work = make_work(2, 2, now);
    work.start_deadline = now + 50ms;
    ASSERT_FALSE(queue.offer(work, now).refusal);
    EXPECT_EQ(queue.next_wakeup(), now + 50ms);
    EXPECT_TRUE(queue.expire(now + 49ms).empty());
    auto const expired = queue.expire(now + 50ms);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().refusal, Refusal::Deadline);
    EXPECT_EQ(queue.waiting_count(), 0U);
}

}
