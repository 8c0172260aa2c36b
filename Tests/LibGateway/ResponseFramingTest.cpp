// Guards against answers without an end of their own: bodies and streams that end with the connection, streams cut
// inside an event, and bytes that never end.
#include "GatewayFixture.h"

#include <LibCore/Text.h>

#include <AnswerSamples.h>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <tuple>

#include <absl/strings/str_replace.h>

namespace GraniteField::Testing {

namespace {

constexpr std::size_t s_block_bytes = 64U << 10U;
/// More than the gateway buffers of a response before it begins to forward it.
constexpr std::size_t s_large_body_bytes = 3U << 20U;

enum class Cut {
    Close,
    Reset,
};

/// Returns the heads of answers in each framing. The last fields decide whether a server ran the request.
std::vector<std::string> heads_to(std::string const& request)
{
    auto const id = field_of(request, "Granitefield-Request").value_or("");
    std::string const interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n";
    auto const head = Core::concat(
        "HTTP/1.1 200 OK\r\nGranitefield-Answer: sig-1\r\nContent-Length: 0\r\nGranitefield-Request: ", id, "\r\n\r\n");
    auto const refusal = Core::concat(
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\nGranitefield-Request: ", id, "\r\nGranitefield-Not-Run: 1\r\n\r\n");
    return {stream_head_to(request), open_head_to(request), head, interim + head, refusal};
}

class ResponseFraming : public GatewayFixture {
protected:
    static constexpr std::size_t s_head_kinds = 5;
    /// Every request is repeated, up to two times.
    static constexpr double s_retries_per_request = 4;

    /// Adds servers that answer the first `begun` sends of a request with one event, then one send with a cut head, and
    /// then well.
    void add_cutting_backends(std::size_t begun)
    {
        m_settings.runs.retries.ratio = s_retries_per_request;
        for (auto const* name : {"i-1", "i-2", "i-3"}) {
            add_backend(name, [this, begun](auto& connection, auto const& text, auto) {
                auto const send = next_send(field_of(text, "Granitefield-Request").value_or(""));
                if (send < begun)
                    return connection.write(stream_head_to(text) + chunk(event(1)));
                if (send > begun)
                    return write_rest_of_stream(connection, text);
                auto const head = heads_to(text)[m_head_kind];
                m_is_last_cut = m_length + 1 >= head.size();
                connection.write(head.substr(0, m_length));
                if (m_cut == Cut::Reset)
                    connection.reset();
            });
        }
        start();
    }

    /// Answers the first send of each request with these bytes, and the next one well. Neither a request that can be
    /// repeated nor one that cannot may be answered with them.
    void expect_rejected(std::vector<InvalidAnswer> const& answers)
    {
        m_settings.runs.retries.ratio = s_retries_per_request;
        for (auto const* name : {"i-1", "i-2"}) {
            add_backend(name, [this](auto& connection, auto const& text, auto) {
                if (next_send(field_of(text, "Granitefield-Request").value_or("")) > 0)
                    return write_rest_of_stream(connection, text);
                connection.write(m_invalid_answer);
            });
        }
        start();
        for (auto const& invalid : answers) {
            SCOPED_TRACE(invalid.name);
            // Signed as an answer of a backend server.
            m_invalid_answer
                = absl::StrReplaceAll(invalid.text, {{"\r\n\r\n", "\r\nGranitefield-Answer: sig-1\r\n\r\n"}});
            auto const repeated = answer_to_next("/safe/");
            EXPECT_EQ(repeated.status, 200);
            EXPECT_EQ(repeated.body, event(1) + event(2) + event(3));
            EXPECT_EQ(answer_to_next("/plain/").status, 502);
        }
    }

    /// Returns the answer to a request with an id and a body of its own.
    RawCaller::Answer answer_to_next(std::string const& target)
    {
        auto const body = Core::concat("ask ", ++m_count);
        return answer_of(Core::concat("POST ", target, " HTTP/1.1\r\nHost: host.test\r\nGranitefield-Request: r-",
            m_count, "\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
    }

    static void write_rest_of_stream(FakeConnection& connection, std::string const& text)
    {
        auto const last = std::stoul(field_of(text, "Last-Event-ID").value_or("0"));
        connection.write(stream_head_to(text));
        for (auto id = static_cast<unsigned>(last) + 1; id <= 3; ++id)
            connection.write(chunk(event(id)));
        connection.write("0\r\n\r\n");
    }

    std::size_t next_send(std::string const& id)
    {
        std::lock_guard const lock(m_mutex);
        return m_sends[id]++;
    }

    /// Calls for the answer to a request of its own, with each kind of head cut at each byte.
    void for_each_cut(Cut cut, std::string const& target, std::function<void(RawCaller::Answer const&)> const& judge)
    {
        m_cut = cut;
        for (m_head_kind = 0; m_head_kind < s_head_kinds; ++m_head_kind) {
            m_is_last_cut = false;
            for (m_length = 0; !m_is_last_cut; ++m_length) {
                SCOPED_TRACE(Core::concat("head ", m_head_kind.load(), ", ", m_length.load(), " bytes"));
                judge(answer_to_next(target));
            }
        }
    }

    /// Adds two servers of which the one that is asked first crashes behind an unframed answer that begins with the
    /// text, and the other one answers well.
    void add_crashing_and_good(std::string const& begun, std::function<std::string(std::string const&)> answer_well)
    {
        for (std::size_t number = 0; number < 2; ++number) {
            add_backend(Core::concat("i-", number), [=, this](auto& connection, auto const& text, auto) {
                if (m_asked++ > 0)
                    return connection.write(answer_well(text));
                connection.write(open_head_to(text) + begun);
                m_backends[number]->crash();
            });
        }
        start();
    }

    /// Adds two servers of which the one that is asked first answers with `write_bad`, and the other one well.
    void add_bad_and_good(std::function<void(FakeConnection&, std::string const&)> write_bad)
    {
        for (auto const* name : {"i-1", "i-2"}) {
            add_backend(name, [this, write_bad](auto& connection, auto const& text, auto) {
                if (m_asked++ == 0)
                    return write_bad(connection, text);
                write_rest_of_stream(connection, text);
            });
        }
        start();
    }

    std::string m_invalid_answer;
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_sends;
    unsigned m_count {0};
    Cut m_cut {Cut::Close};
    std::atomic<std::size_t> m_head_kind {0};
    std::atomic<std::size_t> m_length {0};
    std::atomic<bool> m_is_last_cut {false};
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

TEST_F(ResponseFraming, DeliversABodyThatIsLargerThanTheBuffer)
{
    auto const body = std::string(s_large_body_bytes, 'x');
    std::string framing;
    std::string framed_body;
    int status = 0;
    add_backend("i-1", [&](auto& connection, auto const& text, auto) {
        connection.write(Core::concat("HTTP/1.1 ", status, " X\r\nGranitefield-Answer: sig-1\r\nGranitefield-Request: ",
            field_of(text, "Granitefield-Request").value_or(""), "\r\n", framing, "\r\n", framed_body));
    });
    start();
    std::vector<std::pair<std::string, std::string>> const framings {
        {Core::concat("Content-Length: ", body.size(), "\r\n"), body},
        {"Transfer-Encoding: chunked\r\n", chunk(body) + "0\r\n\r\n"}, {"", body}};
    for (auto const& next : framings) {
        std::tie(framing, framed_body) = next;
        // An error of a server may be as large, also as the answer to a request for a stream.
        for (auto const& [target, expected] : {std::pair("/plain/", 200), {"/plain/", 404}, {"/stream/", 404}}) {
            status = expected;
            auto const answer = answer_to_next(target);
            EXPECT_EQ(answer.status, expected) << framing;
            EXPECT_TRUE(answer.is_whole) << target << ", " << expected << ", " << framing;
            EXPECT_EQ(answer.body.size(), body.size()) << framing;
        }
    }
}

TEST_F(ResponseFraming, WaitsForTheRestOfABodyOfWhichAPartWasForwarded)
{
    m_settings.runs.stall_min_target_share = 0.1;
    for (auto const* name : {"i-1", "i-2"}) {
        add_backend(name, [this](auto& connection, auto const& text, auto) {
            bool const is_first = m_asked++ == 0;
            auto const answer = answer_to(text, 200, std::string(s_large_body_bytes, is_first ? 'x' : 'y'));
            auto const part = answer.size() * 2 / 3;
            connection.write(std::string_view(answer).substr(0, part));
            // Five times as long as a silent server is waited for.
            if (is_first)
                std::this_thread::sleep_for(Core::Milliseconds(500));
            connection.write(std::string_view(answer).substr(part));
        });
    }
    start();
    auto const answer = answer_of(request("GET", "/safe/"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, std::string(s_large_body_bytes, 'x'));
    EXPECT_EQ(m_asked, 1);
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

TEST_F(ResponseFraming, ContinuesAnUnframedStreamWhoseServerCrashes)
{
    add_crashing_and_good(event(1), [](auto const& text) { return open_head_to(text) + event(2) + event(3); });
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
}

TEST_F(ResponseFraming, RepeatsAnUnframedBodyWhoseServerCrashes)
{
    add_crashing_and_good("who", [](auto const& text) { return answer_to(text, 200, "whole body"); });
    auto const answer = answer_of(request("GET", "/safe/"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, "whole body");
}

TEST_F(ResponseFraming, DoesNotEndAnUnframedStreamWhoseServerCrashes)
{
    add_crashing_and_good(event(1), [](auto const& text) { return open_head_to(text) + event(2); });
    auto const answer = answer_of(request("POST", "/stream/", "", "ask"));
    EXPECT_FALSE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1));
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

TEST_F(ResponseFraming, RetriesAfterABodyWithoutEndBehindAnInvalidStatus)
{
    add_bad_and_good([this](auto& connection, auto const&) {
        connection.write("HTTP/1.1 000 X\r\nGranitefield-Answer: sig-1\r\n\r\n");
        m_taken = write_without_end(connection, std::string(s_block_bytes, 'x'));
    });
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
    EXPECT_LT(m_taken, s_endless_bytes);
}

TEST_F(ResponseFraming, RetriesAfterInterimAnswersWithoutEnd)
{
    add_bad_and_good([this](auto& connection, auto const&) {
        m_taken = write_without_end(connection, interim_answers(s_block_bytes));
    });
    auto const answer = answer_of(request("POST", "/resumable/", "", "ask"));
    EXPECT_TRUE(answer.is_whole);
    EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
    EXPECT_LT(m_taken, s_endless_bytes);
}

TEST_F(ResponseFraming, RejectsInvalidStatuses)
{
    expect_rejected(answers_with_invalid_statuses());
}

TEST_F(ResponseFraming, RejectsInvalidFieldLines)
{
    expect_rejected(answers_with_invalid_fields());
}

TEST_F(ResponseFraming, RejectsUnknownTransferCodings)
{
    expect_rejected(answers_with_unknown_codings());
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

TEST_F(ResponseFraming, RetriesAfterAHeadThatIsCutAtAnyByte)
{
    add_cutting_backends(0);
    for (auto const cut : {Cut::Close, Cut::Reset}) {
        for (auto const* target : {"/safe/", "/resumable/"})
            for_each_cut(cut, target, [](auto const& answer) {
                EXPECT_EQ(answer.status, 200);
                EXPECT_TRUE(answer.is_whole);
                EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
            });
    }
}

TEST_F(ResponseFraming, DoesNotConfirmARequestWhoseHeadIsCutAtAnyByte)
{
    add_cutting_backends(0);
    for (auto const cut : {Cut::Close, Cut::Reset}) {
        for (auto const* target : {"/plain/", "/stream/"})
            for_each_cut(cut, target, [](auto const& answer) {
                EXPECT_EQ(answer.status, 502);
                EXPECT_TRUE(answer.is_whole);
            });
    }
}

TEST_F(ResponseFraming, ContinuesAStreamAfterAHeadThatIsCutAtAnyByte)
{
    add_route("thrice", {{"path-prefix", "/thrice/"}, {"tries", "3"}, {"answer", "events"}, {"resumable", "yes"}});
    add_cutting_backends(1);
    for (auto const cut : {Cut::Close, Cut::Reset})
        for_each_cut(cut, "/thrice/", [](auto const& answer) {
            EXPECT_TRUE(answer.is_whole);
            EXPECT_EQ(answer.body, event(1) + event(2) + event(3));
        });
}

TEST_F(ResponseFraming, DoesNotEndAStreamWithAHeadThatIsCutAtAnyByte)
{
    add_cutting_backends(1);
    for (auto const cut : {Cut::Close, Cut::Reset})
        for_each_cut(cut, "/resumable/", [](auto const& answer) {
            EXPECT_FALSE(answer.is_whole);
            EXPECT_EQ(answer.body, event(1));
        });
}

}
