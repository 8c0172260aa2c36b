#include "LogCommands.h"

#include "InputFiles.h"
#include "TextTable.h"

#include <LibCore/Text.h>
#include <LibObserve/LogLines.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <istream>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::CommandLine {

using Json = nlohmann::json;

namespace {

/// Members that have a column of their own.
constexpr std::array<std::string_view, 4> s_columns {"time", "host", "event", "request"};
/// Of no use to a reader of one request.
constexpr std::string_view s_incarnation = "incarnation";

/// Takes the lines that name the request, by its id or by its digest.
void collect(std::istream& input, std::string const& name, std::vector<Json>& lines)
{
    Observe::for_each_log_line(input, name, [&](Json line) {
        if (line.value("request", "") == name || line.value("digest", "") == name)
            lines.push_back(std::move(line));
    });
}

std::string details_of(Json const& line)
{
    std::string text;
    for (auto const& [key, value] : line.items()) {
        bool const has_column = std::ranges::find(s_columns, key) != s_columns.end();
        if (!has_column && key != s_incarnation)
            Core::append(
                &text, text.empty() ? "" : " ", key, "=", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

void print(std::vector<Json> const& lines)
{
    TextTable text({"ms", "host", "event", "details"});
    auto const first = lines.front().at("time").get<std::int64_t>();
    for (auto const& line : lines) {
        text.add({Core::concat("+", line.at("time").get<std::int64_t>() - first), line.value("host", ""),
            line.value("event", ""), details_of(line)});
    }
    std::cout << text.to_string();
}

}

int run_logs_command(Options const& options)
{
    if (options.words.size() < 2)
        throw UsageError("logs REQUEST-OR-DIGEST [FILE...]: the request is missing");
    auto const& request = options.words[1];
    std::vector<Json> lines;
    read_input_files(options, 2, [&](std::istream& input) { collect(input, request, lines); });
    if (lines.empty()) {
        std::cerr << "no line names the request " << request
                  << "; ordinary lines are dropped first when a gateway logs more than it can write\n";
        return s_exit_failed;
    }
    std::ranges::stable_sort(lines, {}, [](auto const& line) { return line.at("time").template get<std::int64_t>(); });
    if (options.should_print_json)
        std::cout << Json(lines).dump(2) << '\n';
    else
        print(lines);
    return s_exit_done;
}

}
