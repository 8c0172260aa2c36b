#pragma once

#include <LibHTTP/FieldList.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace GraniteField::HTTP {

struct AnswerHead {
    int status {0};
    FieldList fields;
};

/// Whether the request that is answered lets the answer have a body.
enum class BodyRule {
    Normal,
    /// The request was HEAD.
    None,
};

/// What delimits the body of an answer (RFC 9112, section 6.3).
enum class Framing {
    /// The answer has no body, by its status or by the request's method.
    NoBody,
    ContentLength,
    Chunked,
    /// The end of the connection.
    ConnectionClose,
};

[[nodiscard]] std::string_view to_string(Framing);

/// Reads one HTTP/1.1 answer as it comes, with Boost.Beast's parser. Interim answers (1xx) are passed over.
class AnswerParser {
public:
    explicit AnswerParser(BodyRule);
    ~AnswerParser();
    AnswerParser(AnswerParser const&) = delete;
    AnswerParser& operator=(AnswerParser const&) = delete;

    /// Takes bytes off the front of the text and gives their number; the rest is to be given again with what
    /// follows. Takes nothing behind the end of the answer.
    std::size_t add(std::string_view);
    /// The connection was closed in order. This is the end of an answer that names no length.
    void add_end();

    [[nodiscard]] bool has_head() const;
    /// Meaningful once has_head() returns true.
    [[nodiscard]] Framing framing() const;
    [[nodiscard]] bool is_complete() const;
    /// What came is no HTTP answer.
    [[nodiscard]] bool is_broken() const;
    [[nodiscard]] AnswerHead const& head() const;
    /// The bytes of the body that came since the last call.
    [[nodiscard]] std::string take_body();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
