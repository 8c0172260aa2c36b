#include <LibHTTP/EventStream.h>

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace GraniteField::HTTP {

namespace {

std::string const s_stream
    = "data: {\"a\":1}\n\ndata: {\"b\":\"data: [DONE]\"}\n\n: comment\n\ndata: {\"c\":3}\n\ndata: [DONE]\n\n";

std::vector<std::string> random_split(std::string const& text)
{
    std::vector<std::string> pieces;
    for (std::size_t position = 0; position < text.size();) {
        auto const size = *rc::gen::inRange<std::size_t>(1, 20);
        pieces.push_back(text.substr(position, size));
        position += size;
    }
    return pieces;
}

}

RC_GTEST_PROP(EventStreamScanner, CountsTheSameHoweverTheStreamIsSplit, ())
{
    EventStreamScanner scanner;
    std::uint32_t events = 0;
    for (auto const& piece : random_split(s_stream))
        events += scanner.add(piece);
    RC_ASSERT(events == 3U);
    RC_ASSERT(scanner.is_done());
}

RC_GTEST_PROP(EventStreamGate, KeepsTheEndBackHoweverTheStreamIsSplit, ())
{
    EventStreamGate gate;
    std::string passed;
    for (auto const& piece : random_split(s_stream)) {
        passed += gate.add(piece);
        RC_ASSERT(passed.empty() || passed.ends_with("\n\n"));
    }
    RC_ASSERT(passed.find("\ndata: [DONE]") == std::string::npos);
    RC_ASSERT(passed.ends_with("data: {\"c\":3}\n\n"));
    RC_ASSERT(passed + gate.take_rest() == s_stream);
}

RC_GTEST_PROP(EventStreamGate, LosesNothingOfAnyText, (std::string const& text))
{
    EventStreamGate gate;
    EventStreamScanner scanner;
    std::string passed;
    for (auto const& piece : random_split(text)) {
        passed += gate.add(piece);
        static_cast<void>(scanner.add(piece));
    }
    RC_ASSERT(passed + gate.take_rest() == text);
}

TEST(EventStreamScanner, AnUnfinishedStreamIsNotDone)
{
    EventStreamScanner scanner;
    EXPECT_EQ(scanner.add("data: {}\n\ndata: [DONE"), 1U);
    EXPECT_FALSE(scanner.is_done());
}

}
