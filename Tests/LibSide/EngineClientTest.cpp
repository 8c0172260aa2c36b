// Guards against calls that end as whole although the answer's head was cut.
#include "AnswerSamples.h"
#include "FakeBackend.h"

#include <LibHTTP/HttpClient.h>
#include <LibSide/EngineClient.h>

#include <atomic>
#include <poll.h>

#include <gtest/gtest.h>

namespace GraniteField::Side {

namespace {

using Testing::AnswerSample;

constexpr int s_longest_wait_ms = 10'000;
constexpr std::string_view s_earlier_type = "text/earlier";

constexpr std::size_t s_field_bytes = 64U << 10U;
constexpr int s_uploads = 20;

enum class Cut {
    Close,
    Reset,
};

struct Answer {
    CallEnd end {CallEnd::Cancelled};
    int status {0};
    std::string content_type;
    std::string body;
};

class EngineClientCalls : public ::testing::Test {
protected:
    static void SetUpTestSuite() { HTTP::initialize_http_client(); }

    void connect(Testing::FakeBackend const& server)
    {
        EngineClient::Settings settings;
        settings.engine = server.entry().address;
        m_client = std::make_unique<EngineClient>(settings, m_wake);
    }

    Answer answer_to(std::string const& method, std::string const& body = "")
    {
        EngineCall call;
        call.body = body;
        call.key = {{1, ++m_count}, Core::AttemptNumber(1)};
        call.method = method;
        call.path = "/";
        EXPECT_TRUE(m_client->try_send(StartCall {call}));
        Answer answer;
        while (true) {
            while (auto const event = m_client->next_event()) {
                if (auto const* piece = std::get_if<AnswerPiece>(event.get())) {
                    answer.body += piece->payload;
                    continue;
                }
                auto const& end = std::get<AnswerEnd>(*event);
                return {end.end, end.status, end.content_type, answer.body + end.rest};
            }
            pollfd item {m_wake.descriptor(), POLLIN, 0};
            if (::poll(&item, 1, s_longest_wait_ms) != 1)
                return answer;
            m_wake.drain();
        }
    }

    /// Checks each first part of the answer, also as the second answer of a connection.
    void check(AnswerSample const& sample, Cut cut, bool is_reused)
    {
        auto const text = sample.text();
        std::atomic<std::size_t> length {0};
        Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
            if (is_reused) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Type: text/earlier\r\n\r\n");
                if (!connection.read_request())
                    return;
            }
            connection.write(std::string_view(text).substr(0, length));
            if (cut == Cut::Reset)
                connection.reset();
        });
        connect(server);
        for (length = 0; length < text.size(); ++length) {
            if (is_reused) {
                ASSERT_EQ(answer_to("GET").end, CallEnd::Whole);
            }
            auto const answer = answer_to(sample.method);
            // libcurl sends a request again when a kept connection ends before the first line.
            bool const was_sent_again = is_reused && answer.content_type == s_earlier_type && answer.body.empty();
            bool const is_whole = cut == Cut::Close && !sample.ends_with_connection && sample.has_whole_body(length);
            EXPECT_EQ(answer.end, is_whole || was_sent_again ? CallEnd::Whole : CallEnd::Broken)
                << sample.name << ", " << length << " bytes: status " << answer.status << ", " << answer.body;
            // The repeated request has left a connection that waits for its second one.
            if (was_sent_again)
                connect(server);
        }
        m_client.reset();
    }

    /// Checks that such answers break their calls, and that nothing of them is passed on.
    void expect_broken(std::vector<Testing::InvalidAnswer> const& answers)
    {
        for (auto const& invalid : answers) {
            Testing::FakeBackend const server(
                "i-1", [&](auto& connection, auto const&, auto) { connection.write(invalid.text); });
            connect(server);
            auto const answer = answer_to("GET");
            EXPECT_EQ(answer.end, CallEnd::Broken) << invalid.name;
            EXPECT_EQ(answer.body, "") << invalid.name;
            m_client.reset();
        }
    }

    Core::WakeEvent m_wake;
    std::unique_ptr<EngineClient> m_client;
    std::uint64_t m_count {0};
};

}

TEST_F(EngineClientCalls, AreBrokenWhenTheirConnectionClosesAtAnyByte)
{
    for (auto const& sample : Testing::answer_samples())
        check(sample, Cut::Close, false);
}

TEST_F(EngineClientCalls, AreBrokenWhenTheirConnectionIsResetAtAnyByte)
{
    for (auto const& sample : Testing::answer_samples())
        check(sample, Cut::Reset, false);
}

TEST_F(EngineClientCalls, AreBrokenWhenAKeptConnectionClosesAtAnyByte)
{
    for (auto const& sample : Testing::answer_samples())
        check(sample, Cut::Close, true);
}

TEST_F(EngineClientCalls, AreBrokenWhenTheirHeadNeverEnds)
{
    std::atomic<std::size_t> sent {0};
    Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
        connection.write("HTTP/1.1 200 OK\r\n");
        sent = Testing::write_without_end(connection, "X-Field: " + std::string(s_field_bytes, 'x') + "\r\n");
    });
    connect(server);
    EXPECT_EQ(answer_to("GET").end, CallEnd::Broken);
    EXPECT_LT(sent, Testing::s_endless_bytes);
    m_client.reset();
}

TEST_F(EngineClientCalls, HaveAContentTypeThatMessagesCanCarry)
{
    Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
        connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/\xff; a=\xc3\xa9\r\nContent-Length: 0\r\n\r\n");
    });
    connect(server);
    EXPECT_EQ(answer_to("GET").content_type, "text/?; a=\xc3\xa9");
    m_client.reset();
}

TEST_F(EngineClientCalls, AreBrokenByInterimAnswersWithoutEnd)
{
    std::atomic<std::size_t> sent {0};
    Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
        sent = Testing::write_without_end(connection, Testing::interim_answers(s_field_bytes));
    });
    connect(server);
    EXPECT_EQ(answer_to("GET").end, CallEnd::Broken);
    EXPECT_LT(sent, Testing::s_endless_bytes);
    m_client.reset();
}

TEST_F(EngineClientCalls, AreBrokenWhenTheirConnectionIsResetDuringTheUpload)
{
    Testing::FakeBackend const server("i-1", Testing::reset_behind_a_part(), Testing::FakeBackend::Reading::HeadOnly);
    connect(server);
    for (int round = 0; round < s_uploads; ++round)
        EXPECT_EQ(answer_to("POST", std::string(Testing::s_large_upload_bytes, 'b')).end, CallEnd::Broken);
    m_client.reset();
}

TEST_F(EngineClientCalls, AreBrokenByInvalidStatuses)
{
    expect_broken(Testing::answers_with_invalid_statuses());
}

TEST_F(EngineClientCalls, AreBrokenByInvalidFieldLines)
{
    expect_broken(Testing::answers_with_invalid_fields());
}

TEST_F(EngineClientCalls, AreBrokenByUnknownTransferCodings)
{
    expect_broken(Testing::answers_with_unknown_codings());
}

}
