#include <LibSide/TicketBook.h>

#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::Side {

using namespace std::chrono_literals;

namespace {

Core::Incarnation const s_own {7};

std::string make_ticket(std::uint64_t random, Core::Milliseconds issued, Core::Incarnation side = s_own)
{
    return Ticket {side, issued, random, "pay-1"}.to_string();
}

}

RC_GTEST_PROP(TicketBook, NoTicketEverRunsTwice, ())
{
    TicketBook::Limits limits;
    limits.hold = 1000ms;
    limits.largest_count = *rc::gen::inRange(1U, 8U);
    limits.largest_total_bytes = 64;
    TicketBook book(s_own, limits);
    std::map<std::string, unsigned> runs;
    std::set<std::string> open;
    Core::Milliseconds now {0};
    auto const steps = *rc::gen::inRange(1, 300);
    for (int step = 0; step < steps; ++step) {
        now += Core::Milliseconds(*rc::gen::inRange(0, 200));
        auto const issued = Core::Milliseconds(*rc::gen::inRange<std::int64_t>(0, 40) * 100);
        auto const ticket = make_ticket(*rc::gen::inRange(0U, 3U), issued);
        auto const action = *rc::gen::inRange(0, 3);
        if (action == 0 && book.reserve("w", ticket, now) == TicketBook::Verdict::Reserved) {
            ++runs[ticket];
            open.insert(ticket);
            RC_ASSERT(runs[ticket] == 1U);
        } else if (action == 1 && open.erase(ticket) == 1U) {
            book.finish("w", ticket, KeptAnswer {200, "text/plain", std::string(40, 'x')});
        } else if (action == 2 && open.erase(ticket) == 1U) {
            // It never began, so that it may be used again.
            book.release("w", ticket);
            --runs[ticket];
        }
        RC_ASSERT(book.count() <= limits.largest_count);
    }
}

TEST(TicketBook, RefusesTicketsOfAnotherRun)
{
    TicketBook book(s_own, {});
    EXPECT_EQ(
        book.reserve("w", make_ticket(1, 0ms, Core::Incarnation(8)), 10ms), TicketBook::Verdict::OtherIncarnation);
}

TEST(TicketBook, RefusesTicketsOlderThanItsMemory)
{
    TicketBook::Limits limits;
    limits.hold = 1000ms;
    TicketBook book(s_own, limits);
    EXPECT_EQ(book.reserve("w", make_ticket(1, 0ms), 1000ms), TicketBook::Verdict::Expired);
    EXPECT_EQ(book.reserve("w", make_ticket(1, 5000ms), 1000ms), TicketBook::Verdict::Expired);
    EXPECT_EQ(book.reserve("w", make_ticket(1, 1ms), 1000ms), TicketBook::Verdict::Reserved);
}

TEST(TicketBook, KeepsTheAnswerForTheSecondUse)
{
    TicketBook book(s_own, {});
    auto const ticket = make_ticket(1, 0ms);
    ASSERT_EQ(book.reserve("w", ticket, 1ms), TicketBook::Verdict::Reserved);
    EXPECT_EQ(book.reserve("w", ticket, 2ms), TicketBook::Verdict::Running);
    book.finish("w", ticket, KeptAnswer {200, "text/plain", "paid"});
    EXPECT_EQ(book.reserve("w", ticket, 3ms), TicketBook::Verdict::Used);
    EXPECT_EQ(book.answer("w", ticket)->payload, "paid");
    // Another workspace's ticket of the same text is another ticket.
    EXPECT_EQ(book.reserve("other", ticket, 3ms), TicketBook::Verdict::Reserved);
}

RC_GTEST_PROP(Ticket, ReadsBackWhatItWrites, (std::uint64_t side, std::uint64_t random))
{
    Ticket const ticket {Core::Incarnation(side), 12345ms, random, "granite-llm-3"};
    auto const read = Ticket::from_string(ticket.to_string());
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->to_string() == ticket.to_string());
}

RC_GTEST_PROP(Ticket, TakesAnyText, (std::string const& text))
{
    auto const read = Ticket::from_string("gf1-" + text);
    if (read)
        RC_ASSERT(read->to_string() == "gf1-" + text);
}

}
