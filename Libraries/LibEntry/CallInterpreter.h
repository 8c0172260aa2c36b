#pragma once

#include <LibEntry/Call.h>
#include <LibHTTP/HttpClient.h>
#include <LibTable/Table.h>

#include <string>
#include <variant>

namespace GraniteField::Entry {

/// A caller's HTTP request before validation.
struct RawCall {
    std::string method;
    /// Path and query as received, percent-encoded.
    std::string target;
    HTTP::Headers headers;
    std::string body;
};

/// Converts an HTTP request to a call, or returns the error to answer with. Reads only the table and keeps no state, so
/// it is thread-safe.
[[nodiscard]] std::variant<Call, ErrorAnswer> interpret_call(
    RawCall, Table::Table const&, Core::RequestId, Core::MonotonicTime now);

/// Returns the JSON body of an error answer.
[[nodiscard]] std::string encode_error(ErrorAnswer const&, Core::RequestId);

/// Returns the value of the Retry-After header: the duration rounded up to whole seconds, and at least one.
[[nodiscard]] std::int64_t retry_after_seconds(Core::Milliseconds);

}
