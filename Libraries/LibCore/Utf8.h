#pragma once

#include <string>
#include <string_view>

namespace GraniteField::Core {

/// The text with a question mark in place of each byte that is no part of a well-formed UTF-8 character (RFC 3629).
[[nodiscard]] std::string replace_invalid_utf8(std::string_view);

}
