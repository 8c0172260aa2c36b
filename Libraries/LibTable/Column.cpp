#include <LibTable/Column.h>

#include <LibCore/Address.h>
#include <LibCore/Text.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>
#include <vector>

#include <absl/strings/ascii.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>

namespace GraniteField::Table {

namespace {

constexpr unsigned s_largest_weight = 1000;
constexpr unsigned s_largest_floor_percent = 50;
constexpr unsigned s_largest_rate = 100'000'000;
constexpr std::size_t s_longest_text = 128;

using Problem = std::optional<std::string>;

bool is_printable(char character)
{
    return absl::ascii_isprint(static_cast<unsigned char>(character));
}

/// A whole number; one beyond the range becomes the largest. Nothing if the text is no number.
std::optional<unsigned> parse_number(std::string_view text)
{
    unsigned value = 0;
    auto const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    if (result.ptr != end || result.ec == std::errc::invalid_argument)
        return std::nullopt;
    return result.ec == std::errc::result_out_of_range ? std::numeric_limits<unsigned>::max() : value;
}

template <typename Row>
Column<Row> number_column(
    std::string_view name, std::string_view help, unsigned Row::*member, unsigned least, unsigned most)
{
    auto read = [member](Row const& row) { return std::to_string(row.*member); };
    auto write = [member, least, most](Row& row, std::string_view text, ChangeOrigin origin) -> Problem {
        auto value = parse_number(text);
        if (value && origin == ChangeOrigin::AcceptedVersion)
            value = std::max(*value, least);
        if (!value || *value < least || (*value > most && origin == ChangeOrigin::Operator))
            return Core::concat("'", text, "' is not a whole number from ", least, " to ", most);
        row.*member = *value;
        return std::nullopt;
    };
    return {name, help, read, write, {}};
}

/// A tier indexes the ranks of a request, so one out of range becomes the nearest that exists.
template <typename Row>
Column<Row> tier_column(std::string_view name, std::string_view help, unsigned Row::*member, unsigned least)
{
    auto column = number_column(name, help, member, least, s_lowest_tier);
    column.write = [member, write = std::move(column.write)](Row& row, std::string_view text, ChangeOrigin origin) {
        auto problem = write(row, text, origin);
        row.*member = std::min(row.*member, s_lowest_tier);
        return problem;
    };
    return column;
}

template <typename Row>
Column<Row> duration_column(std::string_view name, std::string_view help, Core::Milliseconds Row::*member,
    Core::Milliseconds least, Core::Milliseconds most)
{
    auto read = [member](Row const& row) { return Core::format_duration(row.*member); };
    auto write = [member, least, most](Row& row, std::string_view text, ChangeOrigin origin) -> Problem {
        auto const value = Core::parse_duration(text);
        if (!value)
            return Core::concat("'", text, "' is not a duration such as 250ms or 3s");
        if (origin == ChangeOrigin::Operator && (*value < least || *value > most))
            return Core::concat(
                "'", text, "' is not between ", Core::format_duration(least), " and ", Core::format_duration(most));
        row.*member = std::max(*value, least);
        return std::nullopt;
    };
    return {name, help, read, write, {}};
}

template <typename Row, typename Enum, std::size_t count>
Column<Row> choice_column(std::string_view name, std::string_view help, Enum Row::*member,
    std::array<std::pair<std::string_view, Enum>, count> choices)
{
    auto read = [member, choices](Row const& row) {
        for (auto const& [text, value] : choices) {
            if (value == row.*member)
                return std::string(text);
        }
        return std::string();
    };
    auto write = [member, choices](Row& row, std::string_view text, ChangeOrigin) -> Problem {
        std::string allowed;
        for (auto const& [choice, value] : choices) {
            if (choice == text) {
                row.*member = value;
                return std::nullopt;
            }
            Core::append(&allowed, allowed.empty() ? "" : ", ", choice);
        }
        return Core::concat("'", text, "' is none of: ", allowed);
    };
    return {name, help, read, write, {}};
}

template <typename Row>
Column<Row> text_column(std::string_view name, std::string_view help, std::string Row::*member)
{
    auto read = [member](Row const& row) { return row.*member; };
    auto write = [member](Row& row, std::string_view text, ChangeOrigin origin) -> Problem {
        if (origin == ChangeOrigin::Operator && text.size() > s_longest_text)
            return Core::concat("longer than ", s_longest_text, " bytes");
        if (origin == ChangeOrigin::Operator && !std::ranges::all_of(text, is_printable))
            return "holds a character that is not printable ASCII";
        row.*member = std::string(text);
        return std::nullopt;
    };
    return {name, help, read, write, {}};
}

constexpr std::size_t s_most_keys = 64;
constexpr std::size_t s_most_targets = 32;
constexpr std::size_t s_most_regions = 64;

/// A name as part of a list, whose separators it may hold.
std::string escape_name(std::string const& name)
{
    return absl::StrReplaceAll(name, {{"%", "%25"}, {",", "%2C"}, {":", "%3A"}});
}

std::string unescape_name(std::string_view text)
{
    return absl::StrReplaceAll(Core::to_abseil(text), {{"%25", "%"}, {"%2C", ","}, {"%3A", ":"}});
}

std::vector<std::string_view> split_list(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        auto const comma = text.find(',');
        parts.push_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

/// Hashes joined by commas. They are not split first: a workspace may have more than a hundred thousand.
Problem write_key_hashes(Workspace& row, std::string_view text, ChangeOrigin origin)
{
    std::vector<KeyHash> hashes;
    hashes.reserve(text.size() / (s_key_hash_digits + 1) + 1);
    while (!text.empty()) {
        auto const part = text.substr(0, text.find(','));
        auto const hash = parse_key_hash(part);
        if (!hash)
            return "is not a SHA-256 of 64 lower-case hexadecimal digits, or several joined by commas";
        hashes.push_back(*hash);
        text.remove_prefix(std::min(text.size(), part.size() + 1));
    }
    if (origin == ChangeOrigin::Operator && hashes.size() > s_most_keys)
        return Core::concat("holds more than ", s_most_keys, " keys");
    row.key_hashes = std::move(hashes);
    return std::nullopt;
}

std::string read_key_hashes(Workspace const& row)
{
    std::string text;
    text.reserve(row.key_hashes.size() * (s_key_hash_digits + 1));
    for (auto const& hash : row.key_hashes) {
        if (!text.empty())
            text += ',';
        append_key_hash(text, hash);
    }
    return text;
}

Problem write_targets(Route& row, std::string_view text, ChangeOrigin origin)
{
    std::vector<RouteTarget> targets;
    for (auto const part : split_list(text)) {
        auto const colon = part.find(':');
        RouteTarget target {unescape_name(part.substr(0, colon)), 1};
        if (colon != std::string_view::npos) {
            auto const weight = parse_number(part.substr(colon + 1));
            if (!weight || (*weight > s_largest_rate && origin == ChangeOrigin::Operator))
                return Core::concat("'", part, "' is not a service and its weight, such as payments:90");
            target.weight = *weight;
        }
        targets.push_back(std::move(target));
    }
    if (origin == ChangeOrigin::Operator && targets.size() > s_most_targets)
        return Core::concat("names more than ", s_most_targets, " services");
    row.targets = std::move(targets);
    return std::nullopt;
}

/// Names joined by commas.
template <typename Row>
Column<Row> list_column(std::string_view name, std::string_view help, std::vector<std::string> Row::*member)
{
    auto read = [member](Row const& row) { return join_names(row.*member); };
    auto write = [member](Row& row, std::string_view text, ChangeOrigin origin) -> Problem {
        auto const parts = split_list(text);
        if (origin == ChangeOrigin::Operator && parts.size() > s_most_regions)
            return Core::concat("names more than ", s_most_regions);
        (row.*member).clear();
        for (auto const part : parts)
            (row.*member).push_back(unescape_name(part));
        return std::nullopt;
    };
    return {name, help, read, write, {}};
}

/// Set by the gateway that read a version; an operator has nothing to enter here.
template <typename Row>
Column<Row> unreadable_column()
{
    auto write = [](Row& row, std::string_view text, ChangeOrigin origin) -> Problem {
        if (origin == ChangeOrigin::Operator && !text.empty())
            return "is set by gateways only";
        row.unreadable = std::string(text);
        return std::nullopt;
    };
    return {"unreadable", "why its requests get 503: what could not be read of it; empty where all could",
        [](Row const& row) { return row.unreadable; }, write};
}

Problem write_path_prefix(Route& row, std::string_view text, ChangeOrigin origin)
{
    bool const is_usual = text.starts_with('/') && text.ends_with('/') && text.size() <= s_longest_text;
    if (origin == ChangeOrigin::Operator && !is_usual)
        return Core::concat("'", text, "' does not start and end with a slash, or is too long");
    row.path_prefix = std::string(text);
    return std::nullopt;
}

Problem write_side_address(BackendServer& row, std::string_view text, ChangeOrigin)
{
    auto const address = Core::Address::from_string(text);
    if (!address || address->port() == 0)
        return Core::concat("'", text, "' is not an address by IP number such as 127.0.0.1:7100");
    row.side_address = std::string(text);
    return std::nullopt;
}

}

std::string join_names(std::vector<std::string> const& names)
{
    return absl::StrJoin(names, ",", [](std::string* text, auto const& name) { *text += escape_name(name); });
}

std::string join_targets(std::vector<RouteTarget> const& targets)
{
    return absl::StrJoin(targets, ",", [](std::string* text, auto const& target) {
        Core::append(text, escape_name(target.service), ":", target.weight);
    });
}

template <>
std::span<Column<RequestClass> const> columns<RequestClass>()
{
    using namespace std::chrono_literals;
    static std::vector<Column<RequestClass>> const s_columns {
        tier_column("tier", "1 (served first) to 6", &RequestClass::tier, s_highest_tier),
        duration_column<RequestClass>(
            "first-token", "target until the first token", &RequestClass::first_token_target, 1ms, 1h),
        duration_column<RequestClass>(
            "token-gap", "target between two tokens", &RequestClass::token_gap_target, 1ms, 1h),
        number_column("weight", "share within the tier", &RequestClass::weight, 1, s_largest_weight),
        number_column("floor", "percent of slots kept for the class while it waits", &RequestClass::floor_percent, 0,
            s_largest_floor_percent),
        number_column("queue-limit", "waiting requests at one backend server, 0 for none", &RequestClass::queue_limit,
            0, s_largest_rate),
        duration_column<RequestClass>(
            "give-up", "a request that has not begun by then is given up on", &RequestClass::give_up_after, 10ms, 24h),
        choice_column<RequestClass, LatePolicy, 2>("late", "run or refuse what can't meet its target any more",
            &RequestClass::late, {{{"run", LatePolicy::Run}, {"refuse", LatePolicy::Refuse}}}),
    };
    return s_columns;
}

template <>
std::span<Column<Workspace> const> columns<Workspace>()
{
    static std::vector<Column<Workspace>> const s_columns {
        {"key-hash", "SHA-256 of the bearer key; several are joined by commas", read_key_hashes, write_key_hashes,
            [](Workspace const& left, Workspace const& right) { return left.key_hashes == right.key_hashes; }},
        tier_column("tier", "in place of the class's tier, 0 for none", &Workspace::tier, 0),
        number_column("weight", "share within a tier", &Workspace::weight, 1, s_largest_weight),
        number_column("requests-per-second", "over the whole fleet, 0 for no limit", &Workspace::requests_per_second, 0,
            s_largest_rate),
        number_column("tokens-per-second", "over the whole fleet, 0 for no limit", &Workspace::tokens_per_second, 0,
            s_largest_rate),
        number_column(
            "concurrency", "open requests at one entry, 0 for no limit", &Workspace::concurrency, 0, s_largest_rate),
        list_column(
            "regions", "where its requests may be served, joined by commas; empty for anywhere", &Workspace::regions),
        unreadable_column<Workspace>(),
    };
    return s_columns;
}

template <>
std::span<Column<Service> const> columns<Service>()
{
    using namespace std::chrono_literals;
    static std::vector<Column<Service>> const s_columns {
        choice_column<Service, ServiceKind, 2>(
            "kind", "model or plain", &Service::kind, {{{"model", ServiceKind::Model}, {"plain", ServiceKind::Plain}}}),
        text_column("model", "the model name that callers ask for", &Service::model),
        number_column("memory-tokens", "tokens that one engine's memory holds, 0 if not known", &Service::memory_tokens,
            0, s_largest_rate),
        duration_column<Service>(
            "cold-time", "a server is cold for so long after a start", &Service::cold_time, 0ms, 1h),
        number_column("cold-rate", "requests a minute that a cold server bears, 0 for any number", &Service::cold_rate,
            0, s_largest_rate),
    };
    return s_columns;
}

template <>
std::span<Column<BackendServer> const> columns<BackendServer>()
{
    static std::vector<Column<BackendServer>> const s_columns {
        text_column("service", "a row of the sheet services", &BackendServer::service),
        {"side", "address of the side process", [](BackendServer const& row) { return row.side_address; },
            write_side_address},
        text_column("failure-domain", "where it stands", &BackendServer::failure_domain),
        choice_column<BackendServer, BackendServerState, 2>("state", "serving or leaving", &BackendServer::state,
            {{{"serving", BackendServerState::Serving}, {"leaving", BackendServerState::Leaving}}}),
    };
    return s_columns;
}

template <>
std::span<Column<Route> const> columns<Route>()
{
    using namespace std::chrono_literals;
    static std::vector<Column<Route>> const s_columns {
        text_column("host", "the Host header that callers send", &Route::host),
        {"path-prefix", "begins the path; starts and ends with a slash",
            [](Route const& row) { return row.path_prefix; }, write_path_prefix},
        text_column("class", "a row of the sheet classes", &Route::request_class),
        {"services", "rows of the sheet services with their weights, such as a:90,b:10",
            [](Route const& row) { return join_targets(row.targets); }, write_targets},
        choice_column<Route, Repetition, 2>("repeatable", "whether a request may run again", &Route::repetition,
            {{{"no", Repetition::Never}, {"yes", Repetition::Allowed}}}),
        choice_column<Route, AnswerKind, 2>("answer", "whole or events", &Route::answer,
            {{{"whole", AnswerKind::Whole}, {"events", AnswerKind::EventStream}}}),
        choice_column<Route, Continuation, 2>("resumable", "whether a broken stream may go on elsewhere",
            &Route::continuation, {{{"no", Continuation::No}, {"yes", Continuation::Yes}}}),
        choice_column<Route, KeyNeed, 2>("key", "whether a workspace's key is needed", &Route::key,
            {{{"required", KeyNeed::Required}, {"open", KeyNeed::Open}}}),
        number_column("tries", "backend servers that a request may be sent to", &Route::tries, 1, 16),
        duration_column<Route>("time-limit", "a request has its final answer by then", &Route::time_limit, 1ms, 24h),
        list_column(
            "regions", "where its requests may be served, joined by commas; empty for anywhere", &Route::regions),
        unreadable_column<Route>(),
    };
    return s_columns;
}

template <>
std::span<Column<CallerLimits> const> columns<CallerLimits>()
{
    using namespace std::chrono_literals;
    static std::vector<Column<CallerLimits>> const s_columns {
        number_column("head-bytes", "of a request's line and fields", &CallerLimits::head_bytes, 256, 1U << 20U),
        number_column("body-bytes", "of a request's body", &CallerLimits::body_bytes, 0, 1U << 30U),
        duration_column<CallerLimits>("head-time", "for a request's head to come", &CallerLimits::head_time, 10ms, 1h),
        duration_column<CallerLimits>("idle-time", "without a byte", &CallerLimits::idle_time, 10ms, 24h),
    };
    return s_columns;
}

}
