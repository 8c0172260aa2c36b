#pragma once

#include <LibCore/Text.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <absl/strings/match.h>

namespace GraniteField::HTTP {

/// One header field as it was received.
struct Field {
    std::string name;
    std::string value;
};

/// Whether two field names are the same, whatever their case (RFC 9110, section 5.1).
[[nodiscard]] inline bool is_same_name(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(Core::to_abseil(left), Core::to_abseil(right));
}

/// The header fields of a message, in their order.
class FieldList {
public:
    void add(std::string_view name, std::string_view value)
    {
        m_fields.push_back({std::string(name), std::string(value)});
    }

    /// The value of the first field of that name, or null.
    [[nodiscard]] std::string const* find(std::string_view name) const
    {
        auto const found
            = std::ranges::find_if(m_fields, [name](auto const& field) { return is_same_name(field.name, name); });
        return found == m_fields.end() ? nullptr : &found->value;
    }

    [[nodiscard]] std::string_view value_or(std::string_view name, std::string_view otherwise) const
    {
        auto const* value = find(name);
        return value == nullptr ? otherwise : std::string_view(*value);
    }

    [[nodiscard]] std::size_t count(std::string_view name) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_fields, [name](auto const& field) { return is_same_name(field.name, name); }));
    }

    [[nodiscard]] std::vector<Field> const& all() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

/// Whether a comma-separated list such as that of `Connection` holds the token, whatever its case.
[[nodiscard]] bool has_token(std::string_view list, std::string_view token);

/// Whether the field concerns one connection only and is not handed on (RFC 9110, section 7.6.1). `connection` is
/// the value of the message's `Connection` field.
[[nodiscard]] bool is_connection_field(std::string_view name, std::string_view connection);

}
