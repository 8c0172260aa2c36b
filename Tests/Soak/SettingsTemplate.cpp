#include "SettingsTemplate.h"

#include <LibCore/Text.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace GraniteField::Testing {

using Json = nlohmann::json;

namespace {

constexpr std::string_view s_open = "{{";
constexpr std::string_view s_close = "}}";
constexpr std::string_view s_as_json = "|json";

/// What names are looked up in: the entry of the innermost section first.
struct Scope {
    Json const& fields;
    Json const* entry {nullptr};
    bool is_last {true};
};

/// The value at a path of names and numbers; null where there is none.
Json find(Json const& fields, std::string_view path)
{
    auto const dot = path.find('.');
    auto const name = std::string(path.substr(0, dot));
    Json found;
    if (fields.is_object() && fields.contains(name))
        found = fields[name];
    if (fields.is_array() && std::stoul(name) < fields.size())
        found = fields[std::stoul(name)];
    return dot == std::string_view::npos ? found : find(found, path.substr(dot + 1));
}

Json value_of(std::string_view path, Scope const& scope)
{
    if (path == ".")
        return scope.entry == nullptr ? scope.fields : *scope.entry;
    return find(scope.fields, path);
}

std::string gap(std::string_view name, Scope const& scope)
{
    if (name == ",")
        return scope.is_last ? "" : ",";
    if (name.ends_with(s_as_json))
        return value_of(name.substr(0, name.size() - s_as_json.size()), scope).dump();
    auto const value = value_of(name, scope);
    if (value.is_null())
        return "";
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string fill(std::string_view text, Scope const& scope);

std::string section(std::string_view name, std::string_view body, Scope const& scope)
{
    auto const value = value_of(name, scope);
    if (value.is_null() || value == false)
        return "";
    if (!value.is_array())
        return fill(body, scope);
    std::string filled;
    for (std::size_t index = 0; index < value.size(); ++index)
        filled += fill(body, {scope.fields, &value[index], index + 1 == value.size()});
    return filled;
}

std::string fill(std::string_view text, Scope const& scope)
{
    std::string filled;
    while (true) {
        auto const open = text.find(s_open);
        filled += text.substr(0, open);
        if (open == std::string_view::npos)
            return filled;
        auto const close = text.find(s_close, open);
        if (close == std::string_view::npos)
            throw std::runtime_error("a gap of the template has no end");
        auto const name = text.substr(open + s_open.size(), close - open - s_open.size());
        text.remove_prefix(close + s_close.size());
        if (!name.starts_with('#')) {
            filled += gap(name, scope);
            continue;
        }
        auto const mark = Core::concat("{{/", name.substr(1), "}}");
        auto const end = text.find(mark);
        if (end == std::string_view::npos)
            throw std::runtime_error(Core::concat("the section ", name, " has no end"));
        filled += section(name.substr(1), text.substr(0, end), scope);
        text.remove_prefix(end + mark.size());
    }
}

}

std::string fill_template(std::string_view text, Json const& fields)
{
    return fill(text, {fields});
}

std::string gateway_template()
{
    std::ifstream file(Core::concat(GRANITEFIELD_SOURCE_DIRECTORY, "/deploy/gateway.json.template"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}
