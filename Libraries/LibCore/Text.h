#pragma once

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

/// Abseil's text functions for std::string_view. The distribution builds Abseil with a string view type of
/// its own, which does not convert from the standard one.
namespace GraniteField::Core {

[[nodiscard]] inline absl::string_view to_abseil(std::string_view text)
{
    return {text.data(), text.size()};
}

template <typename Value>
[[nodiscard]] decltype(auto) for_abseil(Value const& value)
{
    if constexpr (std::is_same_v<Value, std::string_view>)
        return to_abseil(value);
    else
        return (value);
}

/// All arguments, texts or numbers, written one after the other.
template <typename... Values>
[[nodiscard]] std::string concat(Values const&... values)
{
    return absl::StrCat(for_abseil(values)...);
}

template <typename... Values>
void append(std::string* target, Values const&... values)
{
    absl::StrAppend(target, for_abseil(values)...);
}

[[nodiscard]] inline std::string to_lower(std::string_view text)
{
    return absl::AsciiStrToLower(to_abseil(text));
}

[[nodiscard]] inline std::string trim(std::string_view text)
{
    return std::string(absl::StripAsciiWhitespace(to_abseil(text)));
}

[[nodiscard]] inline bool starts_with_ignoring_case(std::string_view text, std::string_view prefix)
{
    return absl::StartsWithIgnoreCase(to_abseil(text), to_abseil(prefix));
}

[[nodiscard]] inline bool ends_with_ignoring_case(std::string_view text, std::string_view suffix)
{
    return absl::EndsWithIgnoreCase(to_abseil(text), to_abseil(suffix));
}

/// Cuts the prefix off the text, or says that it is not there.
[[nodiscard]] inline bool consume_prefix(std::string_view& text, std::string_view prefix)
{
    if (!text.starts_with(prefix))
        return false;
    text.remove_prefix(prefix.size());
    return true;
}

}
