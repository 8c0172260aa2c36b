// Guards against requests that count as answered although the answer's head was cut.
#include "AnswerSamples.h"
#include "FakeBackend.h"

#include <LibCore/Text.h>
#include <LibHTTP/HttpClient.h>

#include <atomic>
#include <future>
#include <optional>

#include <gtest/gtest.h>

namespace GraniteField::HTTP {

namespace {

using Testing::AnswerSample;

constexpr std::size_t s_field_bytes = 64U << 10U;
/// Part of the time that is left to a daemon whose requests have ended.
constexpr Core::Milliseconds s_abort_limit {200};
constexpr int s_aborts = 5;
constexpr int s_uploads = 20;

enum class Cut {
    Close,
    Reset,
};

class HttpClientAnswers : public ::testing::Test {
protected:
    static void SetUpTestSuite() { initialize_http_client(); }

    [[nodiscard]] std::optional<ClientResponse> answer_to(std::string const& method, Testing::FakeBackend const& server)
    {
        ClientRequest request;
        request.method = method;
        request.url = Core::concat("http://", server.entry().address.to_string(), "/");
        try {
            return m_client->send(request);
        } catch (RequestFailed const& failure) {
            EXPECT_EQ(failure.effect(), Effect::Possible) << failure.what();
            return std::nullopt;
        }
    }

    /// Checks each first part of the answer, also as the second answer of a connection.
    void check(AnswerSample const& sample, Cut cut, bool is_reused)
    {
        auto const text = sample.text();
        std::atomic<std::size_t> length {0};
        Testing::FakeBackend server("i-1", [&](auto& connection, auto const&, auto) {
            if (is_reused) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Earlier: 1\r\n\r\n");
                if (!connection.read_request())
                    return;
            }
            connection.write(std::string_view(text).substr(0, length));
            if (cut == Cut::Reset)
                connection.reset();
        });
        for (length = 0; length < text.size(); ++length) {
            m_client.emplace();
            if (is_reused) {
                ASSERT_TRUE(answer_to("GET", server));
            }
            auto const answer = answer_to(sample.method, server);
            // A reset may overtake the last bytes, and ends no body.
            bool const is_whole = cut == Cut::Close && sample.has_whole_body(length);
            // libcurl sends a request again when a kept connection ends before the first line.
            bool const was_sent_again
                = is_reused && answer && answer->body.empty() && answer->headers.contains("x-earlier");
            EXPECT_EQ(answer.has_value(), is_whole || was_sent_again) << sample.name << ", " << length << " bytes";
        }
    }

    /// Checks that no such answer is returned, whether its connection ends or not.
    void expect_failure(std::vector<Testing::InvalidAnswer> const& answers)
    {
        for (auto const& invalid : answers) {
            for (bool const is_closed : {true, false}) {
                Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
                    connection.write(invalid.text);
                    if (!is_closed)
                        static_cast<void>(connection.wait_until_closed());
                });
                m_client.emplace();
                EXPECT_FALSE(answer_to("GET", server)) << invalid.name;
                m_client.emplace();
            }
        }
    }

    std::optional<HttpClient> m_client {std::in_place};
};

}

TEST_F(HttpClientAnswers, FailWhenTheirConnectionClosesAtAnyByte)
{
    for (auto const& sample : Testing::answer_samples())
        check(sample, Cut::Close, false);
}

TEST_F(HttpClientAnswers, FailWhenTheirConnectionIsResetAtAnyByte)
{
    for (auto const& sample : Testing::answer_samples())
        check(sample, Cut::Reset, false);
}

TEST_F(HttpClientAnswers, FailWhenAKeptConnectionClosesAtAnyByte)
{
    for (auto const& sample : Testing::answer_samples()) {
        // Writes use no kept connection.
        if (sample.method == "GET" || sample.method == "HEAD")
            check(sample, Cut::Close, true);
    }
}

TEST_F(HttpClientAnswers, HaveTheFieldsOfTheirFinalHeadOnly)
{
    Testing::FakeBackend const server("i-1", [](auto& connection, auto const&, auto) {
        connection.write("HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Final: 1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Final: 2\r\n\r\n");
    });
    auto const answer = answer_to("GET", server);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(answer->headers.contains("x-hint"));
    EXPECT_EQ(answer->headers.at("x-final"), "1");
}

TEST_F(HttpClientAnswers, FailWhenTheirHeadNeverEnds)
{
    std::atomic<std::size_t> sent {0};
    Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
        connection.write("HTTP/1.1 200 OK\r\n");
        sent = Testing::write_without_end(connection, "X-Field: " + std::string(s_field_bytes, 'x') + "\r\n");
    });
    EXPECT_FALSE(answer_to("GET", server));
    EXPECT_LT(sent, Testing::s_endless_bytes);
}

TEST_F(HttpClientAnswers, FailBehindInterimAnswersWithoutEnd)
{
    std::atomic<std::size_t> sent {0};
    Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
        sent = Testing::write_without_end(connection, Testing::interim_answers(s_field_bytes));
    });
    EXPECT_FALSE(answer_to("GET", server));
    EXPECT_LT(sent, Testing::s_endless_bytes);
}

TEST_F(HttpClientAnswers, FailWithInvalidStatuses)
{
    expect_failure(Testing::answers_with_invalid_statuses());
}

TEST_F(HttpClientAnswers, FailWithInvalidFieldLines)
{
    expect_failure(Testing::answers_with_invalid_fields());
}

TEST_F(HttpClientAnswers, FailWithUnknownTransferCodings)
{
    expect_failure(Testing::answers_with_unknown_codings());
}

TEST_F(HttpClientAnswers, FailWhenTheirConnectionIsResetDuringTheUpload)
{
    Testing::FakeBackend const server("i-1", Testing::reset_behind_a_part(), Testing::FakeBackend::Reading::HeadOnly);
    for (int round = 0; round < s_uploads; ++round) {
        ClientRequest upload;
        upload.method = "PUT";
        upload.url = Core::concat("http://", server.entry().address.to_string(), "/");
        upload.body = std::string(Testing::s_large_upload_bytes, 'b');
        EXPECT_THROW(static_cast<void>(m_client->send(upload)), RequestFailed);
    }
}

TEST_F(HttpClientAnswers, AreNotWaitedForAfterAnAbort)
{
    for (int round = 0; round < s_aborts; ++round) {
        std::promise<void> received;
        Testing::FakeBackend const server("i-1", [&](auto& connection, auto const&, auto) {
            connection.write(Testing::s_valid_answer);
            if (!connection.read_request())
                return;
            received.set_value();
            static_cast<void>(connection.wait_until_closed());
        });
        m_client.emplace();
        // On a new connection, timers of libcurl would end a wait early.
        ASSERT_TRUE(answer_to("GET", server));
        auto answer = std::async(std::launch::async, [&] { return answer_to("GET", server); });
        received.get_future().wait();
        auto const aborted = Core::monotonic_now();
        m_client->abort();
        EXPECT_FALSE(answer.get());
        EXPECT_LE(Core::elapsed(aborted, Core::monotonic_now()), s_abort_limit);
    }
}

}
