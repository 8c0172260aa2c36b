#include <LibGateway/ServerSignals.h>

#include <LibHTTP/Status.h>

#include <algorithm>
#include <cmath>

#include <absl/strings/numbers.h>

namespace GraniteField::Gateway {

namespace {

/// Returns the value of a field that holds a non-negative decimal number.
std::optional<double> read_number(HTTP::FieldList const& fields, std::string const& name)
{
    auto const* text = fields.find(name);
    double number = 0;
    if (text == nullptr || !absl::SimpleAtod(*text, &number) || !std::isfinite(number) || number < 0)
        return std::nullopt;
    return number;
}

/// Reads seconds with an optional fraction. A date (RFC 9110, section 10.2.3) is ignored: clocks of hosts differ.
std::optional<Core::Milliseconds> read_retry_after(HTTP::FieldList const& fields)
{
    constexpr double longest_seconds = 1e9;
    auto const seconds = read_number(fields, "Retry-After");
    if (!seconds)
        return std::nullopt;
    std::chrono::duration<double> const duration(std::min(*seconds, longest_seconds));
    return std::chrono::ceil<Core::Milliseconds>(duration);
}

}

ServerSignals read_signals(HTTP::AnswerHead const& head, Dialect const& dialect)
{
    ServerSignals signals;
    signals.rate_limit = read_number(head.fields, dialect.rate_limit);
    signals.is_leaving = head.fields.value_or(dialect.leaving, "") == "1";
    signals.is_rejection = HTTP::Status::promises_not_run(head.status) && head.fields.find(dialect.not_run) != nullptr;
    if (head.status == HTTP::Status::s_unavailable)
        signals.retry_after = read_retry_after(head.fields);
    return signals;
}

}
