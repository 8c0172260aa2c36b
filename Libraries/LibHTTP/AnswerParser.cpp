#include <LibHTTP/AnswerParser.h>

#include <LibHTTP/BeastParser.h>
#include <LibHTTP/Status.h>

#include <limits>
#include <optional>
#include <utility>

namespace GraniteField::HTTP {

namespace {

constexpr std::uint32_t s_largest_head_bytes = 64U << 10U;

/// Whether the body has no transfer coding other than chunks. Requests announce no other one with TE, and the field is
/// not passed on, so that a caller could not decode such a body.
bool has_known_coding(FieldList const& fields)
{
    constexpr std::string_view name = "Transfer-Encoding";
    auto const count = fields.count(name);
    return count == 0 || (count == 1 && is_same_name(fields.value_or(name, ""), "chunked"));
}

struct Sink {
    AnswerHead head;
    std::string body;
    bool has_head {false};

    bool take_start(int status, int)
    {
        head.status = status;
        return Status::is_valid(status);
    }
    void take_field(std::string_view name, std::string_view value)
    {
        if (!has_head)
            head.fields.add(name, value);
    }
    bool take_head()
    {
        has_head = has_known_coding(head.fields);
        return has_head;
    }
    void take_body(std::string_view text) { body += text; }
};

/// The parser and what it has read; anew for each interim answer.
struct Message {
    explicit Message(BodyRule rule)
        : parser(sink)
    {
        parser.header_limit(s_largest_head_bytes);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser.skip(rule == BodyRule::None);
    }

    Sink sink;
    BeastParser<false, Sink> parser;
    std::size_t size {0};
};

}

struct AnswerParser::State {
    BodyRule rule {BodyRule::Normal};
    std::optional<Message> message;
    /// Size of the interim answers so far.
    std::size_t interim_bytes {0};
    bool is_broken {false};
};

std::string_view to_string(Framing framing)
{
    switch (framing) {
    case Framing::NoBody:
        return "none";
    case Framing::ContentLength:
        return "content-length";
    case Framing::Chunked:
        return "chunked";
    case Framing::ConnectionClose:
        return "connection-close";
    }
    return "unknown";
}

AnswerParser::AnswerParser(BodyRule rule)
    : m_state(std::make_unique<State>())
{
    m_state->rule = rule;
    m_state->message.emplace(rule);
}

AnswerParser::~AnswerParser() = default;

std::size_t AnswerParser::add(std::string_view text)
{
    std::size_t taken = 0;
    while (taken < text.size() && !m_state->is_broken && !is_complete()) {
        auto& message = *m_state->message;
        boost::system::error_code error;
        auto const rest = text.substr(taken);
        auto const count = message.parser.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        taken += count;
        message.size += count;
        if (error && error != boost::beast::http::error::need_more)
            m_state->is_broken = true;
        bool const is_interim = message.parser.is_done() && Status::is_interim(message.sink.head.status);
        if (is_interim) {
            m_state->interim_bytes += message.size;
            m_state->message.emplace(m_state->rule);
        }
        // The parser limits each head, but not the number of interim answers.
        if (m_state->interim_bytes > s_largest_head_bytes)
            m_state->is_broken = true;
        if (error || count == 0)
            break;
    }
    return taken;
}

void AnswerParser::add_end()
{
    if (m_state->is_broken || is_complete())
        return;
    auto& parser = m_state->message->parser;
    boost::system::error_code error;
    // Beast does not define the end of a message of which nothing came.
    if (parser.got_some())
        parser.put_eof(error);
    if (error || !parser.got_some())
        m_state->is_broken = true;
}

bool AnswerParser::has_head() const
{
    auto const& sink = m_state->message->sink;
    return sink.has_head && !Status::is_interim(sink.head.status);
}

Framing AnswerParser::framing() const
{
    auto const& parser = m_state->message->parser;
    if (parser.chunked())
        return Framing::Chunked;
    if (parser.content_length())
        return Framing::ContentLength;
    return parser.need_eof() ? Framing::ConnectionClose : Framing::NoBody;
}

bool AnswerParser::is_complete() const
{
    return !m_state->is_broken && has_head() && m_state->message->parser.is_done();
}

bool AnswerParser::is_broken() const
{
    return m_state->is_broken;
}

AnswerHead const& AnswerParser::head() const
{
    return m_state->message->sink.head;
}

std::string AnswerParser::take_body()
{
    return std::exchange(m_state->message->sink.body, {});
}

}
