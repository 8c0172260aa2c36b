#pragma once

#include <LibCore/Text.h>

#include <cstddef>
#include <string>
#include <vector>

namespace GraniteField::Testing {

/// An answer of a server in each of its framings (RFC 9112, section 6.3), for tests that cut it at every byte.
struct AnswerSample {
    std::string name;
    std::string method;
    /// Interim answers and the head, up to and with the empty line.
    std::string head;
    std::string rest;
    /// Whether the closing connection is the body's only end.
    bool ends_with_connection {false};

    [[nodiscard]] std::string text() const { return head + rest; }
    /// Whether the first bytes have the whole body, also if the empty line behind the last chunk lacks its line feed.
    /// RFC 9112, section 8: a chunked body without its last chunk is incomplete.
    [[nodiscard]] bool has_whole_body(std::size_t length) const
    {
        bool const is_chunked = rest.ends_with("\r\n\r\n");
        return is_whole(length) || (is_chunked && length + 1 == text().size());
    }
    /// Whether the first bytes of the answer, and the end of the connection in order, are a whole answer.
    [[nodiscard]] bool is_whole(std::size_t length) const
    {
        return ends_with_connection ? length >= head.size() : length == text().size();
    }
};

[[nodiscard]] inline std::vector<AnswerSample> answer_samples()
{
    std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string const hints = "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nLink: </a>\r\n\r\n";
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    return {
        {"length", "GET", ok + "Content-Length: 4\r\nX-Last: 1\r\n\r\n", "body"},
        {"no body", "POST", ok + "Content-Length: 0\r\nX-Last: 1\r\n\r\n", ""},
        {"chunks", "POST", ok + "Transfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n",
            "3;a=b\r\nbod\r\n1\r\ny\r\n0\r\nX-Trailer: 1\r\n\r\n"},
        {"no chunks", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"},
        {"events", "POST", ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            "a\r\nid: 1\ndata\r\n5\r\n: 1\n\n\r\n0\r\n\r\n"},
        {"close", "POST", ok + "Connection: close\r\nX-Last: 1\r\n\r\n", "body", true},
        {"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nX-Last: 1\r\n\r\n", "body", true},
        {"HEAD", "HEAD", ok + "Content-Length: 4\r\nX-Last: 1\r\n\r\n", ""},
        {"HEAD without length", "HEAD", ok + "X-Last: 1\r\n\r\n", ""},
        {"204", "DELETE", "HTTP/1.1 204 No Content\r\nX-Last: 1\r\n\r\n", ""},
        {"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\nX-Last: 1\r\n\r\n", ""},
        {"no reason", "GET", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\n", "body"},
        {"odd reason", "GET", "HTTP/1.1 200 \t: 099 (?) \xc3\xa4\r\nContent-Length: 4\r\n\r\n", "body"},
        {"odd name", "GET", ok + "x!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 4\r\n\r\n", "body"},
        {"coding in capitals", "GET", ok + "TRANSFER-ENCODING: Chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"},
        {"last status", "GET", "HTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\n", "body"},
        {"error", "POST", "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nX-Last: 1\r\n\r\n", ""},
        {"interim", "POST", interim + ok + "Content-Length: 0\r\n\r\n", ""},
        {"interim with a length", "POST", hints + ok + "X-Last: 1\r\n\r\n", "body", true},
        {"two interim", "POST", interim + hints + ok + "Content-Length: 4\r\nX-Last: 1\r\n\r\n", "body"},
    };
}

/// Bytes of a server that are no valid answer, although they look like one.
struct InvalidAnswer {
    std::string name;
    std::string text;
};

inline constexpr std::string_view s_valid_answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

/// Interim answers of at least this size together.
[[nodiscard]] inline std::string interim_answers(std::size_t size)
{
    std::string text;
    while (text.size() < size)
        text += "HTTP/1.1 100 Continue\r\n\r\n";
    return text;
}

/// Answers whose status is not of three digits from 100 to 599 (RFC 9110, section 15).
[[nodiscard]] inline std::vector<InvalidAnswer> answers_with_invalid_statuses()
{
    std::vector<InvalidAnswer> answers;
    for (std::string const status :
        {"000", "001", "099", "600", "999", "0", "20", "2000", "0200", "-20", "+20", "2x0"}) {
        auto const start = "HTTP/1.1 " + status + " X\r\n";
        answers.push_back({status, start + "Content-Length: 4\r\n\r\nbody"});
        answers.push_back(
            {status + " as an interim answer", start + "Content-Length: 0\r\n\r\n" + std::string(s_valid_answer)});
    }
    return answers;
}

/// Answers that have a line in their head that is no field line (RFC 9112, section 5.1).
[[nodiscard]] inline std::vector<InvalidAnswer> answers_with_invalid_fields()
{
    using namespace std::string_literals;
    std::vector<InvalidAnswer> answers;
    auto const ok = "HTTP/1.1 200 OK\r\n"s;
    for (auto const& line : {"X Y: 1"s, "X\tY: 1"s, "X : 1"s, "X\t: 1"s, " X: 1"s, "\tX: 1"s, "X\x01: 1"s, "\x1fX: 1"s,
             "X\x7f: 1"s, "X\0Y: 1"s, "X\rY: 1"s, "X\xc3\xa4: 1"s, "X(Y): 1"s, ": 1"s, "X"s, "HTTP/1.1 200 OK"s}) {
        answers.push_back({"first " + line, ok + line + "\r\nContent-Length: 4\r\n\r\nbody"});
        answers.push_back({"last " + line, Core::concat(ok, "Content-Length: 4\r\n", line, "\r\n\r\nbody")});
    }
    for (auto const& name : {"Content-Length "s, "Content-Length\t"s, "Content-Length\x01"s, "Content Length"s})
        answers.push_back({name, ok + name + ": 2\r\n\r\nbody"});
    for (auto const& name : {"Transfer-Encoding "s, "Transfer-Encoding\x01"s, "Transfer Encoding"s})
        answers.push_back({name, ok + name + ": chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"});
    return answers;
}

/// Answers whose body has a transfer coding other than chunks, of which no request has said that it is accepted.
[[nodiscard]] inline std::vector<InvalidAnswer> answers_with_unknown_codings()
{
    std::vector<InvalidAnswer> answers;
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::string const chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
    for (std::string const coding :
        {"xyz", "xyz, chunked", "chunked, xyz", "gzip", "gzip, chunked", "xchunked", "\"chunked\"", "chunked;a=b"})
        answers.push_back({coding, Core::concat(ok, "Transfer-Encoding: ", coding, "\r\n", chunks)});
    answers.push_back({"two fields", ok + "Transfer-Encoding: xyz\r\nTransfer-Encoding: chunked\r\n" + chunks});
    answers.push_back({"with a length", ok + "Transfer-Encoding: xyz\r\nContent-Length: 4\r\n\r\nbody"});
    return answers;
}

}
