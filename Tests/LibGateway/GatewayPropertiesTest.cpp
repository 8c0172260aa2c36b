// Properties of the gateway's parts over random inputs.
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

/// Cuts the text at random places and gives the pieces one after the other.
template <typename Take>
void in_pieces(std::string const& text, Take take)
{
    std::string waiting;
    std::size_t at = 0;
    while (at < text.size()) {
        auto const length = *rc::gen::inRange<std::size_t>(1, 40);
        waiting += text.substr(at, length);
        at += length;
        waiting.erase(0, take(waiting));
    }
}

std::string random_bytes()
{
    // Bytes that parsers look at are frequent.
    auto const byte = rc::gen::weightedOneOf<char>(
        {{3, rc::gen::element('\r', '\n', ':', ' ', '0', '1', 'a', ';', ',')}, {1, rc::gen::arbitrary<char>()}});
    return *rc::gen::container<std::string>(byte);
}

}

RC_GTEST_PROP(RequestParser, GivesTheSameHoweverTheTextIsCut, ())
{
    auto const body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto const text = "POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nX: y\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body + "GET /next";
    HTTP::RequestParser parser({});
    std::size_t taken = 0;
    in_pieces(text, [&](std::string const& waiting) {
        auto const count = parser.is_complete() ? 0 : parser.add(waiting);
        taken += count;
        return count;
    });
    RC_ASSERT(parser.is_complete());
    RC_ASSERT(parser.head().target == "/a?b=%20");
    RC_ASSERT(parser.body() == body);
    RC_ASSERT(taken == text.size() - std::string("GET /next").size());
}

RC_GTEST_PROP(RequestParser, SurvivesAnything, ())
{
    HTTP::RequestParser parser({200, 200});
    auto const text
        = *rc::gen::element<std::string>("", "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nHost: h\r\n") + random_bytes();
    in_pieces(text, [&](std::string const& waiting) {
        if (parser.problem() != HTTP::RequestProblem::None || parser.is_complete())
            return std::size_t {0};
        auto const count = parser.add(waiting);
        RC_ASSERT(count <= waiting.size());
        return count;
    });
    RC_ASSERT(parser.body().size() <= 200U);
}

RC_GTEST_PROP(AnswerParser, SurvivesAnything, ())
{
    HTTP::AnswerParser parser(HTTP::BodyRule::Normal);
    auto const text
        = *rc::gen::element<std::string>("", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\n")
        + random_bytes();
    in_pieces(text, [&](std::string const& waiting) {
        auto const count = parser.add(waiting);
        RC_ASSERT(count <= waiting.size());
        return count;
    });
    parser.add_end();
    RC_ASSERT(!(parser.is_broken() && parser.is_complete()));
}

RC_GTEST_PROP(EventFramer, GivesEveryEventOnceHoweverTheStreamIsCut, ())
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
    std::string given;
    in_pieces(text + "id: 99\ndata: half", [&](std::string const& waiting) {
        given += framer.add(waiting);
        return waiting.size();
    });
    RC_ASSERT(given == expected);
    RC_ASSERT(framer.has_partial_event());
}

RC_GTEST_PROP(FleetRetryBudget, KeepsTheFleetInsideItsAllowanceInEveryWindow, ())
{
    using namespace std::chrono_literals;
    Policy::RetryAllowance const allowance {0.2, 54, 10s};
    auto const entries = *rc::gen::inRange<std::size_t>(1, 30);
    std::vector<Policy::FleetRetryBudget> budgets(entries, Policy::FleetRetryBudget(allowance));
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
        for (int wanted = 0; wanted < 3; ++wanted) {
            if (budget.try_spend(now))
                retries.push_back(now);
        }
        auto const begin = now - allowance.window;
        while (!retries.empty() && retries.front() < begin)
            retries.pop_front();
        while (!requests.empty() && requests.front() < begin - allowance.window)
            requests.pop_front();
        // Requests of the window, of the one before it or of the one half a window before count, whichever are most.
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

TEST(FleetRetryBudget, WhatAWindowEarnedMayBeSpentWhenManyRequestsNeedItAtOnce)
{
    using namespace std::chrono_literals;
    constexpr std::size_t entries = 103;
    Policy::FleetRetryBudget budget({0.2, 246, 10s});
    budget.set_entry_count(entries);
    // An entry's part of 430 requests a second, and then a crash that breaks off eight of them.
    Core::MonotonicTime now {std::chrono::hours(1)};
    for (int request = 0; request < 84; ++request) {
        budget.note_first_send(now);
        now += 240ms;
    }
    unsigned allowed = 0;
    for (int broken = 0; broken < 8; ++broken)
        allowed += budget.try_spend(now) ? 1 : 0;
    EXPECT_GE(allowed, 6U);
    // What was spent is earned again by later requests only.
    EXPECT_LE(budget.balance(), 1);
}

TEST(PrefixCacheModel, WhatNoOtherPromptSharesTakesMemoryAsWell)
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

RC_GTEST_PROP(PrefixCacheModel, NeverRemembersMoreThanItsCapacity, ())
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
