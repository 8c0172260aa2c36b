#include <LibCore/Hashing.h>

#include <new>

#include <absl/strings/escaping.h>
#include <cstring>
#include <openssl/evp.h>

#include <xxhash.h>

namespace GraniteField::Core {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t mix(std::uint64_t first, std::uint64_t second)
{
    std::array<std::uint64_t, 2> const both {first, second};
    std::array<char, sizeof both> bytes {};
    std::memcpy(bytes.data(), both.data(), bytes.size());
    return hash_bytes({bytes.data(), bytes.size()});
}

Sha256::Sha256()
    : m_context(EVP_MD_CTX_new())
{
    if (m_context == nullptr || EVP_DigestInit_ex(static_cast<EVP_MD_CTX*>(m_context), EVP_sha256(), nullptr) != 1)
        throw std::bad_alloc();
}

Sha256::~Sha256()
{
    EVP_MD_CTX_free(static_cast<EVP_MD_CTX*>(m_context));
}

void Sha256::add(std::string_view bytes)
{
    EVP_DigestUpdate(static_cast<EVP_MD_CTX*>(m_context), bytes.data(), bytes.size());
}

Sha256::Value Sha256::value()
{
    Value value {};
    EVP_DigestFinal_ex(static_cast<EVP_MD_CTX*>(m_context), reinterpret_cast<unsigned char*>(value.data()), nullptr);
    return value;
}

void Sha256::restart()
{
    // Without an algorithm the context keeps the one that it has, which is far cheaper than finding it again.
    if (EVP_DigestInit_ex(static_cast<EVP_MD_CTX*>(m_context), nullptr, nullptr) != 1)
        throw std::bad_alloc();
}

Sha256::Value sha256(std::string_view bytes)
{
    thread_local Sha256 s_hash;
    s_hash.restart();
    s_hash.add(bytes);
    return s_hash.value();
}

std::string sha256_hex(std::string_view bytes)
{
    auto const value = sha256(bytes);
    return absl::BytesToHexString({value.data(), value.size()});
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
