// Guards against answers that end inside their head, and count as whole.
#include "AnswerSamples.h"

#include <LibHTTP/AnswerParser.h>

#include <gtest/gtest.h>

namespace GraniteField::HTTP {

namespace {

/// Reads the answer in pieces of this size, and the end of its connection. Returns whether it is whole.
bool is_whole(Testing::AnswerSample const& sample, std::string_view text, std::size_t piece_size)
{
    AnswerParser parser(sample.method == "HEAD" ? BodyRule::None : BodyRule::Normal);
    std::string input;
    for (std::size_t start = 0; start < text.size(); start += piece_size) {
        auto const piece = text.substr(start, piece_size);
        input += piece;
        input.erase(0, parser.add(input));
        EXPECT_FALSE(parser.is_broken()) << sample.name;
        EXPECT_EQ(parser.has_head(), start + piece.size() >= sample.head.size()) << sample.name;
    }
    parser.add_end();
    EXPECT_EQ(parser.is_complete(), !parser.is_broken()) << sample.name;
    return parser.is_complete();
}

/// Reads an answer as a whole and byte by byte, which must break it before its head is complete.
void expect_broken(std::vector<Testing::InvalidAnswer> const& answers)
{
    for (auto const& answer : answers) {
        for (std::size_t const piece_size : {std::size_t(1), answer.text.size()}) {
            AnswerParser parser(BodyRule::Normal);
            std::string input;
            for (std::size_t start = 0; start < answer.text.size(); start += piece_size) {
                input += answer.text.substr(start, piece_size);
                input.erase(0, parser.add(input));
            }
            parser.add_end();
            EXPECT_TRUE(parser.is_broken()) << answer.name;
            EXPECT_FALSE(parser.has_head()) << answer.name;
            EXPECT_EQ(parser.take_body(), "") << answer.name;
        }
    }
}

}

TEST(AnswerParser, DoesNotTakeAnAnswerForWholeThatIsCutAtAnyByte)
{
    for (auto const& sample : Testing::answer_samples()) {
        auto const text = sample.text();
        for (std::size_t length = 0; length <= text.size(); ++length) {
            auto const beginning = std::string_view(text).substr(0, length);
            for (std::size_t const piece_size : {std::size_t(1), text.size()})
                EXPECT_EQ(is_whole(sample, beginning, piece_size), sample.is_whole(length))
                    << sample.name << ", " << length << " bytes in pieces of " << piece_size;
        }
    }
}

TEST(AnswerParser, DoesNotTakeAHeadWithBareLineFeedsForWhole)
{
    for (std::string_view const text : {"HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\n\nbody", "HTTP/1.1 200 OK\r\nX: 1\n\n",
             "HTTP/1.1 200 OK\r\n\n", "HTTP/1.1 200 OK\r\n\r", "\n", "\r\n\r\n"}) {
        AnswerParser parser(BodyRule::Normal);
        static_cast<void>(parser.add(text));
        parser.add_end();
        EXPECT_FALSE(parser.is_complete()) << text;
    }
}

TEST(AnswerParser, RejectsInvalidStatuses)
{
    expect_broken(Testing::answers_with_invalid_statuses());
}

TEST(AnswerParser, RejectsInvalidFieldLines)
{
    expect_broken(Testing::answers_with_invalid_fields());
}

TEST(AnswerParser, RejectsUnknownTransferCodings)
{
    expect_broken(Testing::answers_with_unknown_codings());
}

}
