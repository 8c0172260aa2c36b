#include <LibTable/KeyHash.h>

#include <array>
#include <cstring>

namespace GraniteField::Table {

namespace {

constexpr std::string_view s_digits = "0123456789abcdef";
constexpr unsigned s_bits_of_digit = 4;
constexpr unsigned s_digit_mask = 0xF;
constexpr std::size_t s_byte_values = 256;
/// Stands for a character that is no digit.
constexpr std::uint8_t s_no_digit = 0xFF;

/// The value of each character as a lower-case hexadecimal digit.
constexpr auto s_digit_values = [] {
    std::array<std::uint8_t, s_byte_values> values {};
    values.fill(s_no_digit);
    for (std::size_t value = 0; value < s_digits.size(); ++value)
        values.at(static_cast<unsigned char>(s_digits[value])) = static_cast<std::uint8_t>(value);
    return values;
}();

std::uint8_t digit_value(char character)
{
    return s_digit_values[static_cast<unsigned char>(character)];
}

}

std::uint64_t prefix_of(KeyHash const& hash)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, hash.data(), sizeof prefix);
    return prefix;
}

std::optional<KeyHash> parse_key_hash(std::string_view text)
{
    if (text.size() != s_key_hash_digits)
        return std::nullopt;
    KeyHash hash {};
    bool is_hash = true;
    for (std::size_t index = 0; index < hash.size(); ++index) {
        auto const high = digit_value(text[2 * index]);
        auto const low = digit_value(text[2 * index + 1]);
        is_hash = is_hash && high != s_no_digit && low != s_no_digit;
        hash[index] = static_cast<char>((high << s_bits_of_digit) | low);
    }
    return is_hash ? std::optional(hash) : std::nullopt;
}

void append_key_hash(std::string& text, KeyHash const& hash)
{
    std::array<char, s_key_hash_digits> digits {};
    for (std::size_t index = 0; index < hash.size(); ++index) {
        auto const value = static_cast<unsigned char>(hash[index]);
        digits[2 * index] = s_digits[value >> s_bits_of_digit];
        digits[2 * index + 1] = s_digits[value & s_digit_mask];
    }
    text.append(digits.data(), digits.size());
}

}
