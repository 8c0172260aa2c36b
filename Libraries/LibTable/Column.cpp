#include <LibTable/Column.h>

#include <LibCore/Address.h>
#include <LibCore/Text.h>

#include <array>
#include <charconv>
#include <utility>
#include <vector>

#include <absl/strings/ascii.h>

namespace GraniteField::Table {

namespace {

constexpr unsigned s_largest_weight = 1000;
constexpr unsigned s_largest_floor_percent = 50;
constexpr unsigned s_largest_rate = 100'000'000;
constexpr std::size_t s_key_hash_digits = 64;
constexpr std::size_t s_longest_text = 128;

using Problem = std::optional<std::string>;

template <typename Row>
Column<Row> number_column(
    std::string_view name, std::string_view help, unsigned Row::*member, unsigned least, unsigned most)
{
    auto read = [member](Row const& row) { return std::to_string(row.*member); };
    auto write = [member, least, most](Row& row, std::string_view text) -> Problem {
        unsigned value = 0;
        auto const* end = text.data() + text.size();
        auto const result = std::from_chars(text.data(), end, value);
        if (result.ec != std::errc {} || result.ptr != end || value < least || value > most)
            return Core::concat("'", text, "' is not a whole number from ", least, " to ", most);
        row.*member = value;
        return std::nullopt;
    };
    return {name, help, read, write};
}

template <typename Row>
Column<Row> duration_column(std::string_view name, std::string_view help, Core::Milliseconds Row::*member,
    Core::Milliseconds least, Core::Milliseconds most)
{
    auto read = [member](Row const& row) { return Core::format_duration(row.*member); };
    auto write = [member, least, most](Row& row, std::string_view text) -> Problem {
        auto const value = Core::parse_duration(text);
        if (!value)
            return Core::concat("'", text, "' is not a duration such as 250ms or 3s");
        if (*value < least || *value > most)
            return Core::concat(
                "'", text, "' is not between ", Core::format_duration(least), " and ", Core::format_duration(most));
        row.*member = *value;
        return std::nullopt;
    };
    return {name, help, read, write};
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
    auto write = [member, choices](Row& row, std::string_view text) -> Problem {
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
    return {name, help, read, write};
}

template <typename Row>
Column<Row> text_column(std::string_view name, std::string_view help, std::string Row::*member)
{
    auto read = [member](Row const& row) { return row.*member; };
    auto write = [member](Row& row, std::string_view text) -> Problem {
        if (text.size() > s_longest_text)
            return Core::concat("longer than ", s_longest_text, " bytes");
        for (char const character : text) {
            if (!absl::ascii_isprint(static_cast<unsigned char>(character)))
                return "holds a character that is not printable ASCII";
        }
        row.*member = std::string(text);
        return std::nullopt;
    };
    return {name, help, read, write};
}

Problem write_key_hash(Workspace& row, std::string_view text)
{
    if (text.size() != s_key_hash_digits)
        return "is not a SHA-256 of 64 hexadecimal digits";
    for (char const character : text) {
        bool const is_hexadecimal = absl::ascii_isxdigit(static_cast<unsigned char>(character));
        if (!is_hexadecimal || absl::ascii_isupper(static_cast<unsigned char>(character)))
            return "is not a SHA-256 of 64 lower-case hexadecimal digits";
    }
    row.key_hash = std::string(text);
    return std::nullopt;
}

Problem write_side_address(BackendServer& row, std::string_view text)
{
    auto const address = Core::Address::from_string(text);
    if (!address || address->port() == 0)
        return Core::concat("'", text, "' is not an address by IP number such as 127.0.0.1:7100");
    row.side_address = std::string(text);
    return std::nullopt;
}

}

template <>
std::span<Column<RequestClass> const> columns<RequestClass>()
{
    using namespace std::chrono_literals;
    static std::vector<Column<RequestClass>> const s_columns {
        number_column("tier", "1 (served first) to 6", &RequestClass::tier, s_highest_tier, s_lowest_tier),
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
        {"key-hash", "SHA-256 of the bearer key", [](Workspace const& row) { return row.key_hash; }, write_key_hash},
        number_column("weight", "share within a tier", &Workspace::weight, 1, s_largest_weight),
        number_column("requests-per-second", "over the whole fleet, 0 for no limit", &Workspace::requests_per_second, 0,
            s_largest_rate),
        number_column("tokens-per-second", "over the whole fleet, 0 for no limit", &Workspace::tokens_per_second, 0,
            s_largest_rate),
        number_column(
            "concurrency", "open requests at one entry, 0 for no limit", &Workspace::concurrency, 0, s_largest_rate),
    };
    return s_columns;
}

template <>
std::span<Column<Service> const> columns<Service>()
{
    static std::vector<Column<Service>> const s_columns {
        choice_column<Service, ServiceKind, 2>(
            "kind", "model or plain", &Service::kind, {{{"model", ServiceKind::Model}, {"plain", ServiceKind::Plain}}}),
        text_column("model", "the model name that callers ask for", &Service::model),
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

}
