#pragma once

#include <LibEntry/Call.h>
#include <LibGateway/CallerConnection.h>
#include <LibGateway/Dialect.h>

#include <string>

namespace GraniteField::Gateway {

/// The value of `Retry-After`.
[[nodiscard]] std::string format_retry_after(Core::Milliseconds, RetryAfterFormat);

/// Gives a caller an answer of the gateway's own, as JSON with the outcome and when to come back.
void send_error_response(CallerConnection&, Entry::ErrorAnswer const&, std::string const& request, Dialect const&);

}
