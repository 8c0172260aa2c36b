#pragma once

#include <LibHTTP/FieldList.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace GraniteField::HTTP {

struct RequestHead {
    std::string method;
    /// Path and query exactly as they came.
    std::string target;
    FieldList fields;
    /// Minor version of HTTP/1.
    int minor_version {1};

    /// Whether the caller lets the connection be used again.
    [[nodiscard]] bool keeps_connection() const;
};

/// What is wrong with a request that can't be taken; each has a status of its own.
enum class RequestProblem {
    None,
    BadSyntax,
    HeadTooLarge,
    BodyTooLarge,
};

[[nodiscard]] int status_of(RequestProblem);

/// Reads one HTTP/1.1 request as it comes, with Boost.Beast's parser behind checks of our own. Whatever two readers
/// could understand in two ways is refused (RFC 9112, sections 2.2, 5 and 6.3): bare line feeds, folded lines, two
/// lengths, a length beside a transfer coding, codings other than `chunked`, several Host fields.
class RequestParser {
public:
    struct Limits {
        std::size_t head_bytes {16'384};
        std::size_t body_bytes {4U << 20U};
    };

    explicit RequestParser(Limits);
    ~RequestParser();
    RequestParser(RequestParser&&) noexcept;
    RequestParser& operator=(RequestParser&&) noexcept;
    RequestParser(RequestParser const&) = delete;
    RequestParser& operator=(RequestParser const&) = delete;

    /// Takes bytes off the front of the text and gives their number; the rest is to be given again with what
    /// follows. Takes nothing behind the end of the request.
    std::size_t add(std::string_view);

    [[nodiscard]] bool has_head() const;
    [[nodiscard]] bool is_complete() const;
    [[nodiscard]] RequestProblem problem() const;
    [[nodiscard]] RequestHead& head();
    /// The body as far as it has arrived, with capacity for the length that the head states.
    [[nodiscard]] std::string& body();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
