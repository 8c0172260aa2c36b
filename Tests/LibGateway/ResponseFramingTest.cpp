// Guards against answers without an end of their own: bodies and streams that end with the connection, streams cut
// inside an event, and bytes that never end.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

#include <atomic>
#include <functional>

namespace GraniteField::Testing {

namespace {

/// Returns the head of an answer whose body ends with the connection.
std::string open_head_to(std::string const& request)
{
    return Core::concat("HTTP/1.1 200 OK\r\nGranitefield-Request: ",
        field_of(request, "Granitefield-Request").value_or(""), "\r\nGranitefield-Answer: sig-1\r\n\r\n");
}

/// More than a gateway keeps of one event, or of a head.
constexpr std::size_t s_endless_bytes = 8U << 20U;
constexpr std::size_t s_block_bytes = 64U << 10U;

class ResponseFraming : public GatewayFixture {
protected:
    /// Adds two servers of which the one that is asked first answers with `write_bad`, and the other one well.
    void add_bad_and_good(std::function<void(FakeConnection&, std::string const&)> write_bad)
    {
        for (auto const* name : {"i-1", "i-2"}) {
            add_backend(name, [this, write_bad](auto& connection, auto const& text, auto) {
                if (m_asked++ == 0)
                    return write_bad(connection, text);
                auto const last = std::stoul(field_of(text, "Last-Event-ID").value_or("0"));
                connection.write(stream_head_to(text));
                for (auto id = static_cast<unsigned>(last) + 1; id <= 3; ++id)
                    connection.write(chunk(event(id)));
                connection.write("0\r\n\r\n");
            });
        }
        start();
    }

    /// Writes the block until the gateway closes the connection; returns how much it took.
    static std::size_t write_without_end(FakeConnection& connection, std::string const& block)
    {
        std::size_t sum = 0;
        while (sum < s_endless_bytes && !connection.wait_until_closed(Core::Milliseconds(1))) {
            connection.write(block);
            sum += block.size();
        }
        return sum;
    }

    std::atomic<int> m_asked {0};
    std::atomic<std::size_t> m_taken {0};
};

}

TEST_F(ResponseFraming, DeliversABodyThatEndsWithTheConnection)
{
    add_backend(
        "i-1", [](auto& connection, auto const& text, auto) { connection.write(open_head_to(text) + "whole body"); });
    start();
    auto const answer = answer_of(request("GET", "/safe/"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, "whole body");
}

TEST_F(ResponseFraming, DeliversAStreamThatEndsWithTheConnection)
{
    add_backend("i-1",
        [](auto& connection, auto const& text, auto) { connection.write(open_head_to(text) + event(1) + event(2)); });
    start();
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2));
}

TEST_F(ResponseFraming, ContinuesAStreamThatEndsInsideAnEvent)
{
    add_bad_and_good([](auto& connection, auto const& text) {
        connection.write(open_head_to(text) + event(1) + "id: 2\ndata: ha");
    });
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
}

TEST_F(ResponseFraming, ContinuesAStreamWhoseEventNeverEnds)
{
    add_bad_and_good([this](auto& connection, auto const& text) {
        connection.write(open_head_to(text) + event(1) + "data: ");
        m_taken = write_without_end(connection, std::string(s_block_bytes, 'x'));
    });
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
    EXPECT_LT(m_taken, s_endless_bytes);
}

TEST_F(ResponseFraming, RetriesAfterAHeadThatNeverEnds)
{
    add_bad_and_good([this](auto& connection, auto const&) {
        connection.write("HTTP/1.1 200 OK\r\n");
        m_taken = write_without_end(connection, Core::concat("X-Field: ", std::string(s_block_bytes, 'x'), "\r\n"));
    });
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
    EXPECT_LT(m_taken, s_endless_bytes);
}

TEST_F(ResponseFraming, ContinuesAStreamWhoseChunkHeaderNeverEnds)
{
    add_bad_and_good([this](auto& connection, auto const& text) {
        connection.write(stream_head_to(text) + chunk(event(1)) + "5;");
        m_taken = write_without_end(connection, std::string(s_block_bytes, 'x'));
    });
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
    EXPECT_LT(m_taken, s_endless_bytes);
}

}
