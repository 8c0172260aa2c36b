#include <LibGateway/GatewayCall.h>

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>

#include <charconv>

namespace GraniteField::Gateway {

namespace {

using Entry::ErrorAnswer;
using Entry::Outcome;

constexpr Core::Milliseconds s_retry_without_table {500};
/// Ranks of priority that engines know, from 0, the most urgent.
constexpr unsigned s_engine_ranks = 10;
/// Parts of a prompt that are looked at; what comes behind them is read anew.
constexpr std::size_t s_most_parts = 64;

ErrorAnswer refusal(int status, std::string code, std::string message, Core::Milliseconds retry_after = {})
{
    return {status, std::move(code), std::move(message), Outcome::NotRun, retry_after};
}

std::optional<std::uint64_t> read_number(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return value;
}

/// The `Host` field without its port, in lower case.
std::string host_of(HTTP::RequestHead const& head)
{
    auto const host = head.fields.value_or("Host", "");
    return Core::to_lower(host.substr(0, host.rfind(':')));
}

std::optional<ErrorAnswer> bind_workspace(GatewayCall& call)
{
    if (call.route->key == Table::KeyNeed::Open)
        return std::nullopt;
    std::string_view key = call.head.fields.value_or("Authorization", "");
    constexpr std::string_view scheme = "Bearer ";
    if (!Core::starts_with_ignoring_case(key, scheme))
        return refusal(401, "missing_key", "the header Authorization must be 'Bearer <key>'");
    key.remove_prefix(scheme.size());
    auto const* workspace = call.table->find_workspace_by_key_hash(Core::sha256_hex(Core::trim(key)));
    if (workspace == nullptr)
        return refusal(401, "unknown_key", "no workspace has this key");
    call.workspace = workspace->name;
    if (workspace->tier != 0)
        call.tier = workspace->tier;
    return std::nullopt;
}

/// Draws a service by the weights. The request's id is random enough, and makes the draw repeatable.
std::string draw_service(Table::Route const& route, std::string const& id)
{
    std::uint64_t total = 0;
    for (auto const& target : route.targets)
        total += target.weight;
    if (total == 0)
        return route.targets.front().service;
    auto drawn = Core::hash_bytes(id) % total;
    for (auto const& target : route.targets) {
        if (drawn < target.weight)
            return target.service;
        drawn -= target.weight;
    }
    return route.targets.back().service;
}

/// The engines know ten ranks. The tiers that the table uses are spread over them, and what is left between two tiers
/// tells classes of one tier apart by their own tier: a workspace's tier goes first.
unsigned draw_priority(GatewayCall const& call)
{
    auto const lowest = call.table->lowest_tier_in_use();
    auto const ranks_of_a_tier = std::max(1U, s_engine_ranks / lowest);
    auto const within = std::min(call.request_class->tier - 1, ranks_of_a_tier - 1);
    return std::min((call.tier - 1) * ranks_of_a_tier + within, s_engine_ranks - 1);
}

void bind_time(GatewayCall& call, Dialect const& dialect)
{
    call.deadline = call.received + call.route->time_limit;
    auto const patience = read_patience(call.head, dialect);
    if (!patience)
        return;
    call.caller_deadline = call.received + *patience;
    call.deadline = std::min(call.deadline, *call.caller_deadline);
}

void bind_prompt(GatewayCall& call, Dialect const& dialect)
{
    auto const counts = call.head.fields.value_or(dialect.token_counts, "");
    auto const comma = counts.find(',');
    call.prompt_tokens = static_cast<std::uint32_t>(read_number(counts.substr(0, comma)).value_or(0));
    if (comma != std::string_view::npos)
        call.most_output_tokens = static_cast<std::uint32_t>(read_number(counts.substr(comma + 1)).value_or(0));
    auto parts = call.head.fields.value_or(dialect.prompt_parts, "");
    std::uint64_t chain = Core::hash_bytes(call.service);
    while (!parts.empty() && call.prompt.size() < s_most_parts) {
        auto const end = parts.find(',');
        auto const part = parts.substr(0, end);
        parts = end == std::string_view::npos ? std::string_view() : parts.substr(end + 1);
        auto const colon = part.find(':');
        if (colon == std::string_view::npos)
            return;
        chain = Core::hash_bytes(part.substr(0, colon), chain);
        auto const tokens = read_number(part.substr(colon + 1)).value_or(0);
        call.prompt.push_back({chain, static_cast<std::uint32_t>(tokens)});
    }
}

}

std::span<PromptPart const> shared_parts(GatewayCall const& call)
{
    std::span<PromptPart const> const parts = call.prompt;
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::uint32_t own_tokens(GatewayCall const& call)
{
    return call.prompt.empty() ? 0 : call.prompt.back().tokens;
}

std::optional<Core::Milliseconds> read_patience(HTTP::RequestHead const& head, Dialect const& dialect)
{
    // A fraction of a millisecond says nothing here.
    auto const text = head.fields.value_or(dialect.remaining_time, "");
    auto const remaining = read_number(text.substr(0, text.find('.')));
    if (!remaining)
        return std::nullopt;
    constexpr std::uint64_t longest_ms = 86'400'000;
    return Core::Milliseconds(std::min(*remaining, longest_ms));
}

std::variant<GatewayCall, ErrorAnswer> read_call(HTTP::RequestHead head, std::string body,
    std::shared_ptr<Table::Table const> table, Dialect const& dialect, Core::MonotonicTime received)
{
    if (table == nullptr)
        return refusal(503, "no_table", "this gateway has no configuration yet", s_retry_without_table);
    GatewayCall call;
    call.table = std::move(table);
    call.received = received;
    auto const path = std::string_view(head.target).substr(0, head.target.find('?'));
    call.route = call.table->find_route(host_of(head), path);
    if (call.route == nullptr)
        return refusal(404, "unknown_route", "no route has this host and path");
    call.request_class = call.table->find_class(call.route->request_class);
    call.tier = call.request_class->tier;
    call.head = std::move(head);
    call.body = std::move(body);
    if (auto error = bind_workspace(call))
        return *error;
    call.id = call.head.fields.value_or(dialect.request_id, "");
    call.service = draw_service(*call.route, call.id);
    call.priority = draw_priority(call);
    bind_time(call, dialect);
    bind_prompt(call, dialect);
    return call;
}

}
