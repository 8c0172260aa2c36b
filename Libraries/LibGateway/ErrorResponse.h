#pragma once

#include <LibEntry/Call.h>
#include <LibGateway/CallerConnection.h>
#include <LibGateway/Dialect.h>

#include <string>

namespace GraniteField::Gateway {

/// Formats the value of `Retry-After`.
[[nodiscard]] std::string format_retry_after(Core::Milliseconds, RetryAfterFormat);

/// Sends an error that the gateway generates itself to a caller, as JSON with the outcome. Adds `Retry-After` if the
/// request was not run.
void send_error_response(CallerConnection&, Entry::ErrorAnswer const&, std::string const& request, Dialect const&);

}
