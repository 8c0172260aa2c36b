#include "LogCommands.h"

#include "TextTable.h"

#include <LibCore/Text.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <istream>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::CommandLine {

using Json = nlohmann::json;

namespace {

/// Members that have a column of their own.
constexpr std::array<std::string_view, 4> s_columns {"time", "host", "event", "request"};
/// Of no use to a reader of one request.
constexpr std::string_view s_incarnation = "incarnation";

/// Takes the lines about the request. Lines that are no JSON, such as those of other programs, are passed over.
void collect(std::istream& input, std::string const& request, std::vector<Json>& lines)
{
    std::string text;
    while (std::getline(input, text)) {
        // What a collector puts before the line is left out.
        auto const begin = text.find('{');
        if (begin == std::string::npos || text.find(request) == std::string::npos)
            continue;
        auto line = Json::parse(text.substr(begin), nullptr, false);
        if (line.is_object() && line.value("request", "") == request && line.contains("time"))
            lines.push_back(std::move(line));
    }
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
        throw UsageError("logs REQUEST [FILE...]: the request is missing");
    auto const& request = options.words[1];
    std::vector<Json> lines;
    if (options.words.size() == 2)
        collect(std::cin, request, lines);
    for (std::size_t index = 2; index < options.words.size(); ++index) {
        std::ifstream file(options.words[index]);
        if (!file)
            throw std::runtime_error("can't read " + options.words[index]);
        collect(file, request, lines);
    }
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
