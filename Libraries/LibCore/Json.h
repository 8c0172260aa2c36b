#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace GraniteField::Core {

/// Maximum nesting of a text that is parsed. Trees are copied, compared and printed by recursion, so that a deeper one
/// could use up a thread's stack.
inline constexpr std::size_t s_max_json_nesting = 64;

/// The text is not JSON, nests too deeply, or has a number beyond the range of a double.
class JsonError : public std::runtime_error {
public:
    JsonError(std::string const& message, std::size_t byte)
        : std::runtime_error(message)
        , m_byte(byte)
    {
    }

    /// Number of bytes up to the error; 0 if it is not at one place.
    [[nodiscard]] std::size_t byte() const { return m_byte; }

private:
    std::size_t m_byte;
};

/// Parses a text of any origin. Throws JsonError, with a message of limited length.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// Result of parse_readable_json().
struct ReadableJson {
    nlohmann::json value;
    /// Why the first unreadable part can't be parsed; empty if there is none.
    std::string problem {};
};

/// Parses what can be parsed: an unreadable member or element is discarded (nlohmann::json::value_t::discarded), and
/// the rest of the text holds. Bytes that are not UTF-8 are replaced. Behind a large number of unreadable parts all are
/// discarded, so that the time is bounded.
[[nodiscard]] ReadableJson parse_readable_json(std::string_view text);

/// A member of an object, unparsed.
struct JsonMember {
    std::string name;
    std::string_view value;
};

/// Returns the members of the object that the text is, in its order, without parsing their values. Throws JsonError if
/// the text is not an object, or its brackets and quotes don't match.
[[nodiscard]] std::vector<JsonMember> split_json_object(std::string_view text);

/// The same for the elements of an array.
[[nodiscard]] std::vector<std::string_view> split_json_array(std::string_view text);

}
