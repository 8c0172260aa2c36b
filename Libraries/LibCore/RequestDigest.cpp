#include <LibCore/RequestDigest.h>

#include <LibCore/Hashing.h>

#include <algorithm>

#include <absl/strings/escaping.h>

namespace GraniteField::Core {

namespace {

/// The length goes before the text, so that no text can be parted in two ways.
void add_part(Sha256& hash, std::string_view text)
{
    auto const size = static_cast<std::uint64_t>(text.size());
    hash.add({reinterpret_cast<char const*>(&size), sizeof(size)});
    hash.add(text);
}

}

RequestDigest RequestDigest::of(std::string_view target, std::string_view caller, std::string_view body)
{
    Sha256 hash;
    add_part(hash, target);
    add_part(hash, caller);
    add_part(hash, body);
    auto const whole = hash.value();
    RequestDigest digest;
    std::copy_n(whole.begin(), s_size, digest.m_bytes.begin());
    return digest;
}

std::optional<RequestDigest> RequestDigest::from_bytes(std::string_view bytes)
{
    if (bytes.size() != s_size)
        return std::nullopt;
    RequestDigest digest;
    std::ranges::copy(bytes, digest.m_bytes.begin());
    return digest;
}

std::optional<RequestDigest> RequestDigest::from_string(std::string_view text)
{
    auto const is_digit = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    };
    if (text.size() != 2 * s_size || !std::ranges::all_of(text, is_digit))
        return std::nullopt;
    return from_bytes(absl::HexStringToBytes({text.data(), text.size()}));
}

std::string RequestDigest::to_string() const
{
    return absl::BytesToHexString({m_bytes.data(), m_bytes.size()});
}

}
