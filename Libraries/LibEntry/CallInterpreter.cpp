#include <LibEntry/CallInterpreter.h>

#include <LibCore/Hashing.h>
#include <LibCore/Json.h>
#include <LibCore/Text.h>
#include <LibCore/Utf8.h>
#include <LibSide/TicketBook.h>

#include <optional>

#include <nlohmann/json.hpp>

namespace GraniteField::Entry {

using Json = nlohmann::json;

namespace {

constexpr std::string_view s_completions_path = "/v1/chat/completions";
constexpr std::string_view s_tickets_path = "/v1/tickets";
constexpr std::string_view s_services_prefix = "/services/";
/// Number of bytes of the first message that are hashed as the prompt's prefix.
constexpr std::size_t s_prefix_bytes = 2048;

ErrorAnswer bad_request(std::string code, std::string message, int status = 400)
{
    return {status, std::move(code), std::move(message), Outcome::NotRun, Core::Milliseconds(0)};
}

std::optional<std::string> header(RawCall const& raw, std::string const& name)
{
    auto const found = raw.headers.find(name);
    if (found == raw.headers.end())
        return std::nullopt;
    return found->second;
}

/// Side processes can't read a message whose text is not UTF-8.
std::optional<ErrorAnswer> check_encoding(RawCall const& raw)
{
    auto const content_type = header(raw, "content-type").value_or("");
    for (std::string_view const text : {raw.method, raw.target, content_type}) {
        if (Core::replace_invalid_utf8(text) != text)
            return bad_request("bad_encoding", "the method, the target and the header Content-Type must be UTF-8");
    }
    return std::nullopt;
}

std::optional<ErrorAnswer> bind_workspace(Call& call, RawCall const& raw, Table::Table const& table)
{
    auto const authorization = header(raw, "authorization").value_or("");
    std::string_view key = authorization;
    if (!Core::consume_prefix(key, "Bearer ") || key.empty())
        return bad_request("missing_key", "the header Authorization must be 'Bearer <key>'", 401);
    auto const* workspace = table.find_workspace_by_key_hash(Core::sha256(key));
    bool const may_be_unreadable
        = workspace == nullptr ? table.has_unreadable_workspace() : !workspace->unreadable.empty();
    if (may_be_unreadable)
        return bad_request("unreadable_configuration", "this entry cannot read the workspace of this key", 503);
    if (workspace == nullptr)
        return bad_request("unknown_key", "no workspace has this key", 401);
    call.workspace = *workspace;
    return std::nullopt;
}

std::optional<ErrorAnswer> bind_class(Call& call, RawCall const& raw, Table::Table const& table)
{
    auto const name = header(raw, "granitefield-class");
    if (!name)
        return bad_request("missing_class", "the header Granitefield-Class must name a request class");
    auto const* request_class = table.find_class(*name);
    if (request_class == nullptr)
        return bad_request("unknown_class", Core::concat("there is no request class '", *name, "'"));
    call.request_class = *request_class;
    return std::nullopt;
}

std::optional<ErrorAnswer> bind_repeatability(Call& call, RawCall const& raw)
{
    bool const is_safe_method = call.method == "GET" || call.method == "HEAD";
    call.is_repeatable = call.kind != CallKind::PlainService || is_safe_method;
    auto const text = header(raw, "granitefield-repeatable");
    if (text && *text != "yes" && *text != "no")
        return bad_request("bad_repeatable", "the header Granitefield-Repeatable must be 'yes' or 'no'");
    if (text)
        call.is_repeatable = *text == "yes";
    call.ticket = header(raw, "idempotency-key").value_or("");
    if (call.is_repeatable)
        call.ticket.clear();
    if (call.ticket.empty() || Side::Ticket::from_string(call.ticket))
        return std::nullopt;
    return bad_request("bad_ticket",
        "the Idempotency-Key of a request that is not repeatable must be a ticket; POST /v1/tickets returns one");
}

void bind_trace(Call& call, RawCall const& raw)
{
    // An invalid header is ignored, as W3C Trace Context, section 3.2.2.5, requires.
    auto const caller_context = Observe::TraceContext::from_header(header(raw, "traceparent").value_or(""));
    if (!caller_context) {
        call.trace = Observe::TraceContext::make(true);
        return;
    }
    call.trace = caller_context->child();
    call.parent_span_id = caller_context->span_id;
}

std::variant<Json, ErrorAnswer> parse_object(std::string const& body)
{
    try {
        auto json = Core::parse_json(body);
        if (json.is_object())
            return json;
        return bad_request("bad_json", "/: the body must be a JSON object");
    } catch (Core::JsonError const& error) {
        return bad_request("bad_json", Core::concat("at byte ", error.byte(), ": ", error.what()));
    }
}

std::uint64_t hash_prefix(Json const& messages)
{
    auto const& first = messages.front();
    if (!first.is_object() || !first.contains("content") || !first["content"].is_string())
        return 0;
    auto const& content = first["content"].get_ref<std::string const&>();
    return Core::hash_bytes(std::string_view(content).substr(0, s_prefix_bytes));
}

std::optional<ErrorAnswer> bind_completion(Call& call, Table::Table const& table)
{
    call.kind = CallKind::Completion;
    if (call.method != "POST")
        return bad_request("bad_method", "completions must be requested with POST", 405);
    auto parsed = parse_object(call.body);
    if (auto* error = std::get_if<ErrorAnswer>(&parsed))
        return *error;
    auto const& json = std::get<Json>(parsed);
    if (!json.contains("model") || !json["model"].is_string())
        return bad_request("bad_model", "/model: must be a string");
    if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty())
        return bad_request("bad_messages", "/messages: must be a non-empty array");
    if (json.contains("stream") && !json["stream"].is_boolean())
        return bad_request("bad_stream", "/stream: must be true or false");
    auto const& model = json["model"].get_ref<std::string const&>();
    auto const* service = table.find_model(model);
    if (service == nullptr)
        return bad_request("unknown_model", Core::concat("/model: there is no model '", model, "'"), 404);
    call.service = service->name;
    call.is_stream = json.value("stream", false);
    call.prefix_hash = hash_prefix(json["messages"]);
    call.path = std::string(s_completions_path);
    return std::nullopt;
}

std::optional<ErrorAnswer> bind_service(Call& call, std::string_view target, Table::Table const& table)
{
    call.kind = CallKind::PlainService;
    auto const rest = target.substr(s_services_prefix.size());
    auto const slash = rest.find_first_of("/?");
    auto const name = rest.substr(0, slash);
    auto const* service = table.find_service(name);
    if (service == nullptr || service->kind != Table::ServiceKind::Plain)
        return bad_request("unknown_service", Core::concat("there is no plain service '", name, "'"), 404);
    call.service = service->name;
    auto const path = slash == std::string_view::npos ? std::string_view() : rest.substr(slash);
    call.path = path.starts_with('/') ? std::string(path) : Core::concat("/", path);
    return std::nullopt;
}

std::optional<ErrorAnswer> bind_ticket(Call& call, Table::Table const& table)
{
    call.kind = CallKind::Ticket;
    if (call.method != "POST")
        return bad_request("bad_method", "tickets must be requested with POST", 405);
    auto parsed = parse_object(call.body);
    if (auto* error = std::get_if<ErrorAnswer>(&parsed))
        return *error;
    auto const& json = std::get<Json>(parsed);
    if (!json.contains("service") || !json["service"].is_string())
        return bad_request("bad_service", "/service: must be a string");
    auto const& name = json["service"].get_ref<std::string const&>();
    if (table.find_service(name) == nullptr)
        return bad_request("unknown_service", Core::concat("/service: there is no service '", name, "'"), 404);
    call.service = name;
    return std::nullopt;
}

std::optional<ErrorAnswer> bind_target(Call& call, RawCall const& raw, Table::Table const& table)
{
    std::string_view const target = raw.target;
    auto const path = target.substr(0, target.find('?'));
    if (path == s_completions_path)
        return bind_completion(call, table);
    if (path == s_tickets_path)
        return bind_ticket(call, table);
    if (path.starts_with(s_services_prefix))
        return bind_service(call, target, table);
    return bad_request("not_found", Core::concat("there is no resource at ", path), 404);
}

}

std::variant<Call, ErrorAnswer> interpret_call(
    RawCall raw, Table::Table const& table, Core::RequestId id, Core::MonotonicTime now)
{
    Call call;
    call.id = id;
    call.received = now;
    call.method = raw.method;
    call.content_type = header(raw, "content-type").value_or("");
    call.table_version = table.version();
    call.body = std::move(raw.body);
    if (auto error = check_encoding(raw))
        return *error;
    if (auto error = bind_workspace(call, raw, table))
        return *error;
    if (auto error = bind_target(call, raw, table))
        return *error;
    if (call.kind != CallKind::Ticket) {
        if (auto error = bind_class(call, raw, table))
            return *error;
    }
    if (auto error = bind_repeatability(call, raw))
        return *error;
    bind_trace(call, raw);
    return call;
}

std::int64_t retry_after_seconds(Core::Milliseconds duration)
{
    return std::max<std::int64_t>(1, (duration.count() + 999) / 1000);
}

std::string encode_error(ErrorAnswer const& error, Core::RequestId request)
{
    Json details {{"code", error.code}, {"message", error.message}, {"outcome", to_string(error.outcome)},
        {"request", request.to_string()}};
    if (error.retry_after.count() > 0)
        details["retry_after_ms"] = error.retry_after.count();
    // The message may quote the caller's input, which need not be valid UTF-8.
    return Json {{"error", details}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
