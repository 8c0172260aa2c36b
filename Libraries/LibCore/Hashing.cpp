#include <LibCore/Hashing.h>

#include <array>
#include <new>

#include <absl/strings/escaping.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace GraniteField::Core {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(), digest.data());
    return absl::BytesToHexString({reinterpret_cast<char const*>(digest.data()), digest.size()});
}

StreamHash::StreamHash()
    : m_state(XXH64_createState())
{
    if (m_state == nullptr)
        throw std::bad_alloc();
    XXH64_reset(static_cast<XXH64_state_t*>(m_state), 0);
}

StreamHash::~StreamHash()
{
    XXH64_freeState(static_cast<XXH64_state_t*>(m_state));
}

void StreamHash::add(std::string_view bytes)
{
    XXH64_update(static_cast<XXH64_state_t*>(m_state), bytes.data(), bytes.size());
}

std::uint64_t StreamHash::value() const
{
    return XXH64_digest(static_cast<XXH64_state_t const*>(m_state));
}

}
