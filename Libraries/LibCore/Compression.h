#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace GraniteField::Core {

/// The bytes in less room (Zstandard, its fastest level): texts that repeat themselves, as lists of rows do, take a
/// tenth.
[[nodiscard]] std::string compress(std::string_view bytes);

/// What was compressed. Throws InvalidInput where the bytes are none of compress(), or stand for more than `largest`.
[[nodiscard]] std::string decompress(std::string_view bytes, std::size_t largest);

}
