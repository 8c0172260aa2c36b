#include <LibCore/Utf8.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace GraniteField::Core {

namespace {

/// Bytes of a character by its first one, and the smallest code point that needs so many.
struct Form {
    std::size_t size;
    std::uint32_t smallest;
    std::uint32_t first_bits;
};

Form form_of(unsigned char first)
{
    if (first < 0x80)
        return {1, 0, first};
    if ((first & 0xe0U) == 0xc0U)
        return {2, 0x80, first & 0x1fU};
    if ((first & 0xf0U) == 0xe0U)
        return {3, 0x800, first & 0x0fU};
    if ((first & 0xf8U) == 0xf0U)
        return {4, 0x10000, first & 0x07U};
    return {0, 0, 0};
}

bool is_character(std::uint32_t code_point)
{
    constexpr std::uint32_t first_surrogate = 0xd800;
    constexpr std::uint32_t last_surrogate = 0xdfff;
    constexpr std::uint32_t largest = 0x10ffff;
    return code_point <= largest && (code_point < first_surrogate || code_point > last_surrogate);
}

/// Bytes of the character that the text begins with; 0 where it begins with none.
std::size_t size_of_first(std::string_view text)
{
    auto const form = form_of(static_cast<unsigned char>(text.front()));
    if (form.size == 0 || form.size > text.size())
        return 0;
    auto code_point = form.first_bits;
    for (auto const character : text.substr(1, form.size - 1)) {
        auto const byte = static_cast<unsigned char>(character);
        if ((byte & 0xc0U) != 0x80U)
            return 0;
        code_point = code_point << 6U | (byte & 0x3fU);
    }
    return code_point >= form.smallest && is_character(code_point) ? form.size : 0;
}

}

std::string replace_invalid_utf8(std::string_view text)
{
    std::string sound;
    sound.reserve(text.size());
    while (!text.empty()) {
        auto const size = size_of_first(text);
        if (size == 0)
            sound += '?';
        else
            sound += text.substr(0, size);
        text.remove_prefix(std::max<std::size_t>(size, 1));
    }
    return sound;
}

}
