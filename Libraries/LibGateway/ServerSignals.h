#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Dialect.h>
#include <LibHTTP/AnswerParser.h>

#include <optional>

namespace GraniteField::Gateway {

/// Statements of a backend server about itself in the header fields of an answer.
struct ServerSignals {
    /// Requests per second that the server accepts from all gateways together.
    std::optional<double> rate_limit;
    /// The server is shutting down and accepts no further requests.
    bool is_leaving {false};
    /// The server did not run the request.
    bool is_rejection {false};
    /// Backoff that the server requests from this gateway with a status of 503.
    std::optional<Core::Milliseconds> retry_after;

    bool operator==(ServerSignals const&) const = default;
};

/// Reads the signals from the head of an answer. Malformed fields are ignored.
[[nodiscard]] ServerSignals read_signals(HTTP::AnswerHead const&, Dialect const&);

}
