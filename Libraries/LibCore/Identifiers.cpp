#include <LibCore/Identifiers.h>

#include <charconv>
#include <random>

#include <absl/strings/str_cat.h>

namespace GraniteField::Core {

static constexpr std::size_t s_hex_digits = 16;

Incarnation draw_incarnation()
{
    std::random_device source;
    std::uint64_t value = 0;
    while (value == 0) {
        std::uint64_t const high = source();
        value = (high << 32U) | source();
    }
    return Incarnation(value);
}

std::string to_hex(std::uint64_t value)
{
    return absl::StrCat(absl::Hex(value, absl::kZeroPad16));
}

std::optional<std::uint64_t> from_hex(std::string_view text)
{
    if (text.size() != s_hex_digits)
        return std::nullopt;
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value, 16);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return value;
}

std::string RequestId::to_string() const
{
    return to_hex(entry) + to_hex(sequence);
}

std::optional<RequestId> RequestId::from_string(std::string_view text)
{
    if (text.size() != 2 * s_hex_digits)
        return std::nullopt;
    auto const entry = from_hex(text.substr(0, s_hex_digits));
    auto const sequence = from_hex(text.substr(s_hex_digits));
    if (!entry || !sequence)
        return std::nullopt;
    return RequestId {*entry, *sequence};
}

}
