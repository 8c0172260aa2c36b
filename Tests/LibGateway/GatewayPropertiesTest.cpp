// Property tests of the gateway's parts with random input.
#include <LibCore/Text.h>
#include <LibGateway/BackendFleet.h>
#include <LibHTTP/AnswerParser.h>
#include <LibHTTP/EventFramer.h>
#include <LibHTTP/RequestParser.h>
#include <LibPolicy/FleetRetryBudget.h>

#include <deque>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Gateway {

namespace {

/// Splits the text at random places and passes on the chunks one after the other.
template <typename Consume>
void feed_in_chunks(std::string const& text, Consume consume)
{
    std::string pending;
    std::size_t at = 0;
    while (at < text.size()) {
        auto const length = *rc::gen::inRange<std::size_t>(1, 40);
        pending += text.substr(at, length);
        at += length;
        pending.erase(0, consume(pending));
    }
}

std::string random_bytes()
{
    // Bytes with a meaning for the parsers occur more often.
    auto const byte = rc::gen::weightedOneOf<char>(
        {{3, rc::gen::element('\r', '\n', ':', ' ', '0', '1', 'a', ';', ',')}, {1, rc::gen::arbitrary<char>()}});
    return *rc::gen::container<std::string>(byte);
}

}

RC_GTEST_PROP(RequestParser, ParsesARequestSplitAnywhere, ())
{
    auto const body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto const text = "POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nX: y\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body + "GET /next";
    HTTP::RequestParser parser({});
    std::size_t consumed = 0;
    feed_in_chunks(text, [&](std::string const& pending) {
        auto const count = parser.is_complete() ? 0 : parser.add(pending);
        consumed += count;
        return count;
    });
    RC_ASSERT(parser.is_complete());
    RC_ASSERT(parser.head().target == "/a?b=%20");
    RC_ASSERT(parser.body() == body);
    RC_ASSERT(consumed == text.size() - std::string("GET /next").size());
}

RC_GTEST_PROP(RequestParser, HandlesArbitraryInput, ())
{
    HTTP::RequestParser parser({200, 200});
    auto const text
        = *rc::gen::element<std::string>("", "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nHost: h\r\n") + random_bytes();
    feed_in_chunks(text, [&](std::string const& pending) {
        if (parser.problem() != HTTP::RequestProblem::None || parser.is_complete())
            return std::size_t {0};
        auto const count = parser.add(pending);
        RC_ASSERT(count <= pending.size());
        return count;
    });
    RC_ASSERT(parser.body().size() <= 200U);
}

RC_GTEST_PROP(AnswerParser, HandlesArbitraryInput, ())
{
    HTTP::AnswerParser parser(HTTP::BodyRule::Normal);
    auto const text
        = *rc::gen::element<std::string>("", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\n")
        + random_bytes();
    feed_in_chunks(text, [&](std::string const& pending) {
        auto const count = parser.add(pending);
        RC_ASSERT(count <= pending.size());
        return count;
    });
    parser.add_end();
    RC_ASSERT(!(parser.is_broken() && parser.is_complete()));
}

RC_GTEST_PROP(EventFramer, EmitsEachEventOnceForAnySplit, ())
{
    auto const count = *rc::gen::inRange(0U, 20U);
    auto const skipped = *rc::gen::inRange(0U, 20U);
    std::string text;
    std::string expected;
    for (unsigned id = 1; id <= count; ++id) {
        auto const line_end = *rc::gen::element<std::string>("\n", "\r\n");
        auto const one = Core::concat("id: ", id, line_end, "data: ", id * 7, line_end, line_end);
        text += one;
        if (id > skipped)
            expected += one;
    }
    HTTP::EventFramer framer;
    if (skipped > 0)
        framer.set_last_id(skipped);
    std::string emitted;
    feed_in_chunks(text + "id: 99\ndata: half", [&](std::string const& pending) {
        emitted += framer.add(pending);
        return pending.size();
    });
    RC_ASSERT(emitted == expected);
    RC_ASSERT(framer.has_partial_event());
}

RC_GTEST_PROP(FleetRetryBudget, StaysWithinTheAllowanceInEveryWindow, ())
{
    using namespace std::chrono_literals;
    Policy::RetryAllowance const allowance {0.2, 54, 10s};
    auto const entries = *rc::gen::inRange<std::size_t>(1, 30);
    std::vector<Policy::FleetRetryBudget> budgets;
    for (std::size_t entry = 0; entry < entries; ++entry)
        budgets.emplace_back(allowance);
    for (auto& budget : budgets)
        budget.set_entry_count(entries);
    std::deque<Core::MonotonicTime> requests;
    std::deque<Core::MonotonicTime> retries;
    Core::MonotonicTime now {std::chrono::hours(1)};
    for (int step = 0; step < 3'000; ++step) {
        now += Core::Milliseconds(*rc::gen::inRange(0, 30));
        auto& budget = budgets[*rc::gen::inRange<std::size_t>(0, entries)];
        budget.note_first_send(now);
        requests.push_back(now);
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (budget.try_spend(now))
                retries.push_back(now);
        }
        auto const begin = now - allowance.window;
        while (!retries.empty() && retries.front() < begin)
            retries.pop_front();
        while (!requests.empty() && requests.front() < begin - allowance.window)
            requests.pop_front();
        // The budget counts the requests of the current window, of the previous one or of the one half a window
        // earlier, whichever are most.
        auto const requests_until = [&](Core::MonotonicTime end) {
            return std::ranges::count_if(
                requests, [&](auto const& time) { return time > end - allowance.window && time <= end; });
        };
        auto const counted
            = std::max({requests_until(now), requests_until(now - allowance.window / 2), requests_until(begin)});
        auto const bound = allowance.ratio * static_cast<double>(counted) + allowance.slack;
        RC_ASSERT(static_cast<double>(retries.size()) <= bound);
    }
}

TEST(FleetRetryBudget, AllowsABurstOfRetriesEarnedInAWindow)
{
    using namespace std::chrono_literals;
    constexpr std::size_t entries = 103;
    Policy::FleetRetryBudget budget({0.2, 246, 10s});
    budget.set_entry_count(entries);
    // One entry's share of 430 requests per second, followed by a crash that breaks eight requests.
    Core::MonotonicTime now {std::chrono::hours(1)};
    for (int request = 0; request < 84; ++request) {
        budget.note_first_send(now);
        now += 240ms;
    }
    unsigned allowed = 0;
    for (int broken = 0; broken < 8; ++broken)
        allowed += budget.try_spend(now) ? 1 : 0;
    EXPECT_GE(allowed, 6U);
    // Spent retries are earned again by later requests only.
    EXPECT_LE(budget.balance(), 1);
}

RC_GTEST_PROP(FleetRetryBudget, StaysWithinTheAllowanceWhenRepeatsArriveLate, ())
{
    using namespace std::chrono_literals;
    Policy::RetryAllowance const allowance {0.2, 54, 10s};
    constexpr std::size_t entries = 4;
    std::vector<Policy::FleetRetryBudget> budgets;
    for (std::size_t entry = 0; entry < entries; ++entry)
        budgets.emplace_back(allowance);
    std::vector<Policy::RetryCharge> unread;
    std::deque<Core::MonotonicTime> requests;
    std::deque<Core::MonotonicTime> arrivals;
    Core::MonotonicTime now {std::chrono::hours(1)};
    for (int step = 0; step < 3'000; ++step) {
        now += Core::Milliseconds(*rc::gen::inRange(0, 30));
        auto& budget = budgets[*rc::gen::inRange<std::size_t>(0, entries)];
        budget.note_first_send(now);
        requests.push_back(now);
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (auto const charge = budget.try_spend(now))
                unread.push_back(*charge);
        }
        // Servers read nothing for many seconds, and then all that has been sent.
        if (*rc::gen::inRange(0, 1'500) == 0) {
            arrivals.insert(arrivals.end(), unread.size(), now);
            unread.clear();
        }
        while (!arrivals.empty() && arrivals.front() <= now - allowance.window)
            arrivals.pop_front();
        while (!requests.empty() && requests.front() <= now - allowance.window)
            requests.pop_front();
        auto const bound = allowance.ratio * static_cast<double>(requests.size()) + allowance.slack;
        RC_ASSERT(static_cast<double>(arrivals.size()) <= bound);
    }
}

TEST(FleetRetryBudget, ChargesAnUnreadRepeatUntilItIsSettled)
{
    using namespace std::chrono_literals;
    Policy::FleetRetryBudget budget({0.2, 0, 10s});
    Core::MonotonicTime now {std::chrono::hours(1)};
    // Eight requests earn one repeat.
    auto const send_requests = [&] {
        for (int request = 0; request < 8; ++request)
            budget.note_first_send(now);
    };
    send_requests();
    auto earned = budget.try_spend(now);
    auto const slack = budget.try_spend(now);
    ASSERT_TRUE(earned && slack);
    now += 30s;
    send_requests();
    EXPECT_FALSE(budget.try_spend(now));
    earned.reset();
    EXPECT_FALSE(budget.try_spend(now));
    now += 9s;
    EXPECT_FALSE(budget.try_spend(now));
    now += 2s;
    send_requests();
    EXPECT_TRUE(budget.try_spend(now));
}

TEST(PrefixCacheModel, CountsUnsharedTokensAgainstTheCapacity)
{
    PrefixCacheModel model;
    model.set_capacity(10'000);
    std::vector<PromptPart> const shared {{77, 6'000}};
    model.note_prefill(shared);
    model.note_prefill({}, 3'000);
    EXPECT_EQ(model.cached_tokens(shared), 6'000U);
    model.note_prefill({}, 3'000);
    EXPECT_EQ(model.cached_tokens(shared), 0U);
}

RC_GTEST_PROP(PrefixCacheModel, NeverExceedsItsCapacity, ())
{
    PrefixCacheModel model;
    model.set_capacity(1'000);
    for (int round = 0; round < 50; ++round) {
        std::vector<PromptPart> prompt;
        auto const length = *rc::gen::inRange(1, 5);
        for (int part = 0; part < length; ++part)
            prompt.push_back({*rc::gen::inRange<std::uint64_t>(0, 30), 100});
        model.note_prefill(prompt);
    }
    std::uint32_t kept = 0;
    for (std::uint64_t prefix_hash = 0; prefix_hash < 30; ++prefix_hash)
        kept += model.cached_tokens(std::vector<PromptPart> {{prefix_hash, 100}});
    RC_ASSERT(kept <= 1'000U);
}

}
