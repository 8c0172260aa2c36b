#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace GraniteField::Core {

/// Stands for what makes two requests the same, whoever takes them and under whatever id: the target, the caller and
/// the body. The first 128 bits of a SHA-256, so that nobody can make another caller's request look like one of his
/// own, and no two of a year at 65,000 a second meet (the chance of one such pair is below 1e-14).
class RequestDigest {
public:
    static constexpr std::size_t s_size = 16;

    RequestDigest() = default;

    /// Of a request's target, with its query; the name of whoever asks; and the whole body.
    [[nodiscard]] static RequestDigest of(std::string_view target, std::string_view caller, std::string_view body);
    /// From s_size bytes; nothing where there are more or fewer.
    [[nodiscard]] static std::optional<RequestDigest> from_bytes(std::string_view);
    /// From 32 hexadecimal digits; nothing where it is no such text.
    [[nodiscard]] static std::optional<RequestDigest> from_string(std::string_view);

    [[nodiscard]] std::string_view bytes() const { return {m_bytes.data(), m_bytes.size()}; }
    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

    auto operator<=>(RequestDigest const&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, RequestDigest const& digest)
    {
        return Hash::combine(std::move(hash), digest.m_bytes);
    }

private:
    std::array<char, s_size> m_bytes {};
};

}
