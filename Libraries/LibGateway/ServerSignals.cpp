#include <LibGateway/ServerSignals.h>

#include <cmath>

#include <absl/strings/numbers.h>

namespace GraniteField::Gateway {

namespace {

/// The value of a field that holds a decimal number of at least 0.
std::optional<double> read_number(HTTP::FieldList const& fields, std::string const& name)
{
    auto const* text = fields.find(name);
    double number = 0;
    if (text == nullptr || !absl::SimpleAtod(*text, &number) || !std::isfinite(number) || number < 0)
        return std::nullopt;
    return number;
}

}

ServerSignals read_signals(HTTP::FieldList const& fields, Dialect const& dialect)
{
    ServerSignals signals;
    signals.rate_limit = read_number(fields, dialect.rate_limit);
    signals.is_leaving = fields.value_or(dialect.leaving, "") == "1";
    return signals;
}

}
