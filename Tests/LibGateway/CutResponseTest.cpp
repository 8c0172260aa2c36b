// Guards against responses that look complete to callers although they were cut on their way.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

#include <atomic>
#include <future>

namespace GraniteField::Testing {

namespace {

/// More than the gateway buffers of a response before it begins to forward it.
constexpr std::size_t s_large_part_bytes = 2U << 20U;
constexpr std::size_t s_small_part_bytes = 100;
constexpr int s_rounds = 5;

/// The beginning of a response in one of the framings, and the way in which its connection ends.
struct Cut {
    std::string name;
    std::string framing;
    bool is_chunk {false};
    bool is_reset {true};
};

std::vector<Cut> const& cuts()
{
    static std::string const s_length = Core::concat("Content-Length: ", 2 * s_large_part_bytes, "\r\n");
    static std::string const s_chunked = "Transfer-Encoding: chunked\r\n";
    static std::vector<Cut> const s_cuts {{"length, closed", s_length, false, false}, {"length, reset", s_length},
        {"chunks, closed", s_chunked, true, false}, {"chunks, reset", s_chunked, true},
        {"end of the connection, reset", ""}};
    return s_cuts;
}

class CutResponses : public GatewayFixture {
protected:
    static void write_part(FakeConnection& connection, std::string const& request, Cut const& cut, std::size_t size)
    {
        auto const part = std::string(size, 'p');
        auto const id = field_of(request, "Granitefield-Request").value_or("");
        connection.write(Core::concat("HTTP/1.1 200 OK\r\nGranitefield-Request: ", id,
            "\r\nGranitefield-Answer: sig-1\r\n", cut.framing, "\r\n", cut.is_chunk ? chunk(part) : part));
        if (cut.is_reset)
            connection.reset();
    }

    /// Returns an HTTP/1.0 caller, for which only the end of the connection delimits a response without a length.
    [[nodiscard]] std::unique_ptr<RawCaller> call_without_chunks() const
    {
        return call("GET /plain/ HTTP/1.0\r\nHost: host.test\r\nGranitefield-Request: r-1\r\n\r\n");
    }
};

}

TEST_F(CutResponses, AreNotCompleteInAnyFraming)
{
    std::atomic<std::size_t> size {0};
    Cut const* cut = nullptr;
    add_backend("i-1", [&](auto& connection, auto const& text, auto) { write_part(connection, text, *cut, size); });
    start();
    for (auto const& next : cuts()) {
        cut = &next;
        for (auto const part_size : {s_small_part_bytes, s_large_part_bytes}) {
            size = part_size;
            for (int round = 0; round < s_rounds; ++round) {
                auto const answer = answer_of(request("POST", "/plain/", "", "pay"));
                EXPECT_FALSE(answer.status == 200 && answer.is_whole) << next.name << ", " << part_size << " bytes";
            }
        }
    }
}

TEST_F(CutResponses, DoNotEndInOrderForACallerWithoutChunks)
{
    // Outlives this function, since the script may.
    auto const may_reset = std::make_shared<std::promise<void>>();
    add_backend("i-1", [may_reset](auto& connection, auto const& text, auto) {
        connection.write(open_head_to(text) + std::string(s_large_part_bytes, 'p'));
        may_reset->get_future().wait();
        connection.reset();
    });
    start();
    auto const caller = call_without_chunks();
    ASSERT_TRUE(caller->has_received("HTTP/1.1 200"));
    may_reset->set_value();
    EXPECT_FALSE(caller->ends_in_order());
}

TEST_F(CutResponses, DoNotEndInOrderWhenTheGatewayGoesAway)
{
    add_backend("i-1", [](auto& connection, auto const& text, auto) {
        connection.write(open_head_to(text) + std::string(s_large_part_bytes, 'p'));
        static_cast<void>(connection.wait_until_closed());
    });
    start();
    auto const caller = call_without_chunks();
    ASSERT_TRUE(caller->has_received("HTTP/1.1 200"));
    m_gateway.reset();
    EXPECT_FALSE(caller->ends_in_order());
}

}
