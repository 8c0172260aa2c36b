#include <LibGateway/ErrorResponse.h>

#include <LibEntry/CallInterpreter.h>

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Gateway {

std::string format_retry_after(Core::Milliseconds duration, RetryAfterFormat form)
{
    if (form == RetryAfterFormat::WholeSeconds)
        return std::to_string(Entry::retry_after_seconds(duration));
    return absl::StrFormat("%.3f", std::chrono::duration<double>(duration).count());
}

void send_error_response(
    CallerConnection& caller, Entry::ErrorAnswer const& error, std::string const& request, Dialect const& dialect)
{
    HTTP::FieldList fields;
    fields.add("Content-Type", "application/json");
    if (!request.empty())
        fields.add(dialect.request_id, request);
    if (error.retry_after.count() > 0 && error.outcome == Entry::Outcome::NotRun)
        fields.add("Retry-After", format_retry_after(error.retry_after, dialect.retry_after));
    using Json = nlohmann::json;
    Json const body {{"error",
        {{"code", error.code}, {"message", error.message}, {"outcome", to_string(error.outcome)},
            {"request", request}}}};
    // The message may quote input of the caller that is not valid UTF-8.
    caller.answer(error.status, fields, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}
