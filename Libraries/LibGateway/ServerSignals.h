#pragma once

#include <LibCore/Time.h>
#include <LibGateway/Dialect.h>
#include <LibHTTP/AnswerParser.h>

#include <optional>

namespace GraniteField::Gateway {

/// What a backend server states about itself in the header fields of an answer.
struct ServerSignals {
    /// Requests per second that it accepts from all gateways together.
    std::optional<double> rate_limit;
    /// It wants no further requests and will end.
    bool is_leaving {false};
    /// It did not run the request.
    bool is_rejection {false};
    /// Backoff that it requests from this gateway, with 503.
    std::optional<Core::Milliseconds> retry_after;

    bool operator==(ServerSignals const&) const = default;
};

/// Reads the statements in the head of an answer. Malformed fields are ignored.
[[nodiscard]] ServerSignals read_signals(HTTP::AnswerHead const&, Dialect const&);

}
