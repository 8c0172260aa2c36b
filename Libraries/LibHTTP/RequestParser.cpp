#include <LibHTTP/RequestParser.h>

#include <LibHTTP/BeastParser.h>

#include <charconv>
#include <optional>

namespace GraniteField::HTTP {

namespace {

constexpr std::string_view s_head_end = "\r\n\r\n";
constexpr std::string_view s_line_end = "\r\n";

/// A line feed that does not end a line as RFC 9112 asks.
bool has_bare_line_feed(std::string_view text)
{
    for (auto at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at == 0 || text[at - 1] != '\r')
            return true;
    }
    return false;
}

bool has_folded_line(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

/// Whether the body's length is told in exactly one way, or not at all.
bool is_framing_clear(RequestHead const& head)
{
    auto const lengths = head.fields.count("Content-Length");
    auto const codings = head.fields.count("Transfer-Encoding");
    if (codings == 0)
        return lengths <= 1;
    bool const is_chunked = is_same_name(head.fields.value_or("Transfer-Encoding", ""), "chunked");
    return lengths == 0 && codings == 1 && is_chunked && head.minor_version == 1;
}

bool is_head_valid(RequestHead const& head)
{
    auto const hosts = head.fields.count("Host");
    bool const has_host = hosts == 1 || (hosts == 0 && head.minor_version == 0);
    return has_host && head.target.starts_with('/') && is_framing_clear(head);
}

/// Returns the value of Content-Length, or 0.
std::size_t stated_length(RequestHead const& head)
{
    std::size_t length = 0;
    auto const text = head.fields.value_or("Content-Length", "");
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

}

int status_of(RequestProblem problem)
{
    switch (problem) {
    case RequestProblem::HeadTooLarge:
        return 431;
    case RequestProblem::BodyTooLarge:
        return 413;
    default:
        return 400;
    }
}

bool RequestHead::keeps_connection() const
{
    auto const connection = fields.value_or("Connection", "");
    if (minor_version == 0)
        return has_token(connection, "keep-alive");
    return !has_token(connection, "close");
}

struct RequestParser::State {
    struct Sink {
        RequestHead head;
        std::string body;
        bool has_head {false};

        void take_start(std::string_view method, std::string_view target, int version)
        {
            head.method = std::string(method);
            head.target = std::string(target);
            head.minor_version = version % 10;
        }
        void take_field(std::string_view name, std::string_view value)
        {
            // What follows the body (RFC 9112, section 7.1.2) is not handed on.
            if (!has_head)
                head.fields.add(name, value);
        }
        bool take_head()
        {
            has_head = true;
            if (!is_head_valid(head))
                return false;
            // The parser has checked the length against the limit.
            body.reserve(stated_length(head));
            return true;
        }
        void take_body(std::string_view text) { body += text; }
    };

    explicit State(Limits limits)
        : limits(limits)
        , parser(sink)
    {
        // The head was measured before; the parser only has to let it pass.
        parser.header_limit(static_cast<std::uint32_t>(limits.head_bytes + s_head_end.size()));
        parser.body_limit(limits.body_bytes);
    }

    Limits limits;
    Sink sink;
    BeastParser<true, Sink> parser;
    RequestProblem problem {RequestProblem::None};
};

RequestParser::RequestParser(Limits limits)
    : m_state(std::make_unique<State>(limits))
{
}

RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

std::size_t RequestParser::add(std::string_view text)
{
    auto& state = *m_state;
    std::size_t skipped = 0;
    if (!state.sink.has_head) {
        // Empty lines before a request are passed over (RFC 9112, section 2.2).
        while (text.starts_with(s_line_end)) {
            text.remove_prefix(s_line_end.size());
            skipped += s_line_end.size();
        }
        auto const end = text.find(s_head_end);
        auto const head = text.substr(0, end);
        if (head.size() > state.limits.head_bytes)
            state.problem = RequestProblem::HeadTooLarge;
        else if (has_bare_line_feed(head) || has_folded_line(head))
            state.problem = RequestProblem::BadSyntax;
        if (end == std::string_view::npos || state.problem != RequestProblem::None)
            return skipped;
    }
    boost::system::error_code error;
    auto const taken = state.parser.put(boost::asio::const_buffer(text.data(), text.size()), error);
    if (error == boost::beast::http::error::body_limit)
        state.problem = RequestProblem::BodyTooLarge;
    else if (error && error != boost::beast::http::error::need_more)
        state.problem = RequestProblem::BadSyntax;
    return skipped + taken;
}

bool RequestParser::has_head() const
{
    return m_state->sink.has_head;
}

bool RequestParser::is_complete() const
{
    return m_state->problem == RequestProblem::None && m_state->parser.is_done();
}

RequestProblem RequestParser::problem() const
{
    return m_state->problem;
}

RequestHead& RequestParser::head()
{
    return m_state->sink.head;
}

std::string& RequestParser::body()
{
    return m_state->sink.body;
}

}
