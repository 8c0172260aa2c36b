#include <LibHTTP/FieldList.h>

#include <array>

namespace GraniteField::HTTP {

bool has_token(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        auto const comma = list.find(',');
        if (is_same_name(Core::trim(list.substr(0, comma)), token))
            return true;
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

bool is_connection_field(std::string_view name, std::string_view connection)
{
    static constexpr std::array<std::string_view, 9> s_names {"connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"};
    bool const is_known = std::ranges::any_of(s_names, [name](auto known) { return is_same_name(name, known); });
    return is_known || has_token(connection, name);
}

}
