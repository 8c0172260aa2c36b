#pragma once

#include <LibEntry/Call.h>
#include <LibHTTP/HttpClient.h>
#include <LibTable/Table.h>

#include <string>
#include <variant>

namespace GraniteField::Entry {

/// A caller's HTTP request before it is understood.
struct RawCall {
    std::string method;
    /// Path and query as they came, still percent-encoded.
    std::string target;
    HTTP::Headers headers;
    std::string body;
};

/// Makes a call of an HTTP request, or says what is wrong with it. Reads only the table; no state, so any
/// thread may use it.
[[nodiscard]] std::variant<Call, ErrorAnswer> interpret_call(
    RawCall, Table::Table const&, Core::RequestId, Core::MonotonicTime now);

/// The JSON body of an error answer.
[[nodiscard]] std::string encode_error(ErrorAnswer const&, Core::RequestId);

/// Seconds for the header Retry-After: never less than what is meant, and at least one.
[[nodiscard]] std::int64_t retry_after_seconds(Core::Milliseconds);

}
