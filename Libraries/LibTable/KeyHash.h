#pragma once

#include <LibCore/Hashing.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Table {

/// SHA-256 of a workspace's bearer key.
using KeyHash = Core::Sha256::Value;

/// Length of a hash as text: lower-case hexadecimal digits.
inline constexpr std::size_t s_key_hash_digits = 2 * sizeof(KeyHash);

/// The beginning of a hash as a number, for an index.
[[nodiscard]] std::uint64_t prefix_of(KeyHash const&);

/// The hash that the text stands for; nothing if it has another form.
[[nodiscard]] std::optional<KeyHash> parse_key_hash(std::string_view text);

/// Appends the hash as text.
void append_key_hash(std::string& text, KeyHash const&);

}
