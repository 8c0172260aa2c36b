#include <LibGateway/RoutedRequest.h>

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>

#include <charconv>

namespace GraniteField::Gateway {

namespace {

using Entry::ErrorAnswer;
using Entry::Outcome;

constexpr Core::Milliseconds s_retry_after_without_table {500};
/// For requests whose route or workspace this gateway cannot read. Another gateway may be able to.
constexpr Core::Milliseconds s_retry_after_unreadable {1'000};
/// Number of engine priorities; 0 is the most urgent.
constexpr unsigned s_engine_priority_count = 10;
/// Number of prompt parts that are evaluated; engines are assumed to prefill all further parts.
constexpr std::size_t s_max_prompt_parts = 64;

ErrorAnswer refusal(int status, std::string code, std::string message, Core::Milliseconds retry_after = {})
{
    return {status, std::move(code), std::move(message), Outcome::NotRun, retry_after};
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return value;
}

/// Returns the `Host` field without its port, in lower case.
std::string host_of(HTTP::RequestHead const& head)
{
    auto const host = head.fields.value_or("Host", "");
    return Core::to_lower(host.substr(0, host.rfind(':')));
}

ErrorAnswer unreadable(std::string message)
{
    return refusal(503, "unreadable_configuration", std::move(message), s_retry_after_unreadable);
}

std::optional<ErrorAnswer> authenticate(RoutedRequest& request)
{
    if (request.route->key == Table::KeyNeed::Open)
        return std::nullopt;
    std::string_view key = request.head.fields.value_or("Authorization", "");
    constexpr std::string_view scheme = "Bearer ";
    if (!Core::starts_with_ignoring_case(key, scheme))
        return refusal(401, "missing_key", "the Authorization header must be 'Bearer <key>'");
    key.remove_prefix(scheme.size());
    auto const* workspace = request.table->find_workspace_by_key_hash(Core::sha256(Core::trim(key)));
    if (workspace == nullptr && request.table->has_unreadable_workspace())
        return unreadable("the key may be one of a workspace that this gateway cannot read");
    if (workspace == nullptr)
        return refusal(401, "unknown_key", "no workspace has this key");
    if (!workspace->unreadable.empty())
        return unreadable("this gateway cannot read the workspace of this key");
    request.workspace = workspace->name;
    if (workspace->tier != 0)
        request.tier = workspace->tier;
    return std::nullopt;
}

/// Returns a service chosen at random by weight. Uses a hash of the request's id, so that the choice is reproducible.
std::string pick_service(Table::Route const& route, std::string const& id)
{
    std::uint64_t total = 0;
    for (auto const& target : route.targets)
        total += target.weight;
    if (total == 0)
        return route.targets.front().service;
    auto remainder = Core::hash_bytes(id) % total;
    for (auto const& target : route.targets) {
        if (remainder < target.weight)
            return target.service;
        remainder -= target.weight;
    }
    return route.targets.back().service;
}

/// Returns the engine priority. The tiers in use are spread over the engine's priorities. The priorities between two
/// tiers separate classes by the class's own tier, so that a workspace's tier takes precedence.
unsigned engine_priority(RoutedRequest const& request)
{
    auto const lowest = request.table->lowest_tier_in_use();
    auto const priorities_per_tier = std::max(1U, s_engine_priority_count / lowest);
    auto const class_offset = std::min(request.request_class->tier - 1, priorities_per_tier - 1);
    return std::min((request.tier - 1) * priorities_per_tier + class_offset, s_engine_priority_count - 1);
}

void set_deadlines(RoutedRequest& request, Dialect const& dialect)
{
    request.deadline = request.received + request.route->time_limit;
    auto const timeout = read_caller_timeout(request.head, dialect);
    if (!timeout)
        return;
    request.caller_deadline = request.received + *timeout;
    request.deadline = std::min(request.deadline, *request.caller_deadline);
}

/// Calls `handle_part` with the id and the token count of each part of the prompt, up to the first malformed one.
void for_each_part(RoutedRequest const& request, Dialect const& dialect, auto handle_part)
{
    auto parts = request.head.fields.value_or(dialect.prompt_parts, "");
    for (std::size_t count = 0; !parts.empty() && count < s_max_prompt_parts; ++count) {
        auto const end = parts.find(',');
        auto const part = parts.substr(0, end);
        parts = end == std::string_view::npos ? std::string_view() : parts.substr(end + 1);
        auto const colon = part.find(':');
        if (colon == std::string_view::npos)
            return;
        handle_part(part.substr(0, colon), parse_number(part.substr(colon + 1)).value_or(0));
    }
}

void parse_prompt(RoutedRequest& request, Dialect const& dialect)
{
    auto const counts = request.head.fields.value_or(dialect.token_counts, "");
    auto const comma = counts.find(',');
    request.prompt_tokens = static_cast<std::uint32_t>(parse_number(counts.substr(0, comma)).value_or(0));
    if (comma != std::string_view::npos)
        request.max_output_tokens = static_cast<std::uint32_t>(parse_number(counts.substr(comma + 1)).value_or(0));
    std::uint64_t prefix_hash = Core::hash_bytes(request.service);
    for_each_part(request, dialect, [&](std::string_view id, std::uint64_t tokens) {
        prefix_hash = Core::hash_bytes(id, prefix_hash);
        request.prompt.push_back({prefix_hash, static_cast<std::uint32_t>(tokens)});
    });
}

}

std::span<PromptPart const> shared_parts(RoutedRequest const& request)
{
    std::span<PromptPart const> const parts = request.prompt;
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::vector<std::string> shared_part_ids(RoutedRequest const& request, Dialect const& dialect)
{
    std::vector<std::string> ids;
    for_each_part(request, dialect, [&](std::string_view id, std::uint64_t) { ids.emplace_back(id); });
    // The last one belongs to the request or its session.
    if (!ids.empty())
        ids.pop_back();
    return ids;
}

Policy::CrashIdentity crash_identity(RoutedRequest const& request, Dialect const& dialect)
{
    if (!request.cached_part_digests) {
        request.cached_part_digests.emplace();
        for (auto const& id : shared_part_ids(request, dialect)) {
            // Targets begin with a slash, so that no request has the digest of a part.
            if (request.cached_part_digests->size() < Policy::CrashIdentity::s_max_parts)
                request.cached_part_digests->push_back(Core::RequestDigest::of("prompt-part", request.service, id));
        }
    }
    return {request.digest(), *request.cached_part_digests};
}

std::uint32_t own_tokens(RoutedRequest const& request)
{
    return request.prompt.empty() ? 0 : request.prompt.back().tokens;
}

std::optional<Core::Milliseconds> read_caller_timeout(HTTP::RequestHead const& head, Dialect const& dialect)
{
    // Fractions of a millisecond are ignored.
    auto const text = head.fields.value_or(dialect.remaining_time, "");
    auto const remaining = parse_number(text.substr(0, text.find('.')));
    if (!remaining)
        return std::nullopt;
    constexpr std::uint64_t max_timeout_ms = 86'400'000;
    return Core::Milliseconds(std::min(*remaining, max_timeout_ms));
}

std::variant<RoutedRequest, ErrorAnswer> route_request(HTTP::RequestHead head, RequestBody body,
    std::shared_ptr<Table::Table const> table, Dialect const& dialect, Core::MonotonicTime received)
{
    if (table == nullptr)
        return refusal(503, "no_table", "this gateway has no configuration yet", s_retry_after_without_table);
    RoutedRequest request;
    request.table = std::move(table);
    request.received = received;
    auto const path = std::string_view(head.target).substr(0, head.target.find('?'));
    request.route = request.table->find_route(host_of(head), path);
    if (request.route == nullptr && request.table->has_route_without_place())
        return unreadable("the request may be for a route that this gateway cannot read");
    if (request.route == nullptr)
        return refusal(404, "unknown_route", "no route matches this host and path");
    if (!request.route->unreadable.empty())
        return unreadable("this gateway cannot read the route of this request");
    request.request_class = request.table->find_class(request.route->request_class);
    request.tier = request.request_class->tier;
    request.head = std::move(head);
    request.body = std::move(body);
    if (auto error = authenticate(request))
        return *error;
    request.id = request.head.fields.value_or(dialect.request_id, "");
    // A stream continues at the service that began it.
    auto const stream_id = request.is_stream() ? request.head.fields.value_or(dialect.resumes, request.id)
                                               : std::string_view(request.id);
    request.service = pick_service(*request.route, std::string(stream_id));
    request.priority = engine_priority(request);
    set_deadlines(request, dialect);
    parse_prompt(request, dialect);
    return request;
}

}
