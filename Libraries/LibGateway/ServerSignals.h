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
    /// It wants no request from this gateway for so long.
    std::optional<Core::Milliseconds> retry_after;

    bool operator==(ServerSignals const&) const = default;
};

/// Fields that are malformed are ignored: a server that sends nonsense is treated as one that sends nothing.
[[nodiscard]] ServerSignals read_signals(HTTP::AnswerHead const&, Dialect const&);

}
