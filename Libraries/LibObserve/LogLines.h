#pragma once

#include <LibCore/Json.h>

#include <concepts>
#include <istream>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace GraniteField::Observe {

/// Calls `take` with each structured log line of the input that holds the text `part`, as JSON. What a collector puts
/// before a line is left out, and lines that are none, such as those of other programs, are passed over.
template <std::invocable<nlohmann::json> Take>
void for_each_log_line(std::istream& input, std::string_view part, Take take)
{
    std::string text;
    while (std::getline(input, text)) {
        auto const begin = text.find('{');
        if (begin == std::string::npos || text.find(part) == std::string::npos)
            continue;
        try {
            auto line = Core::parse_json(std::string_view(text).substr(begin));
            if (line.is_object() && line.contains("time") && line.contains("event"))
                take(std::move(line));
        } catch (Core::JsonError const&) {
            continue;
        }
    }
}

}
