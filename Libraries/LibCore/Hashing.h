#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace GraniteField::Core {

/// XXH3 with 64 bits: for placement and checksums, never for secrets.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view, std::uint64_t seed = 0);

/// One number of two, spread evenly: for rendezvous hashing.
[[nodiscard]] std::uint64_t mix(std::uint64_t first, std::uint64_t second);

/// SHA-256 over a sequence of texts, as over all of them in one.
class Sha256 {
public:
    using Value = std::array<char, 32>;

    /// Throws std::bad_alloc where the library has no memory for it.
    Sha256();
    ~Sha256();
    Sha256(Sha256 const&) = delete;
    Sha256& operator=(Sha256 const&) = delete;

    void add(std::string_view);
    /// To be asked once, at the end.
    [[nodiscard]] Value value();
    /// Begins a new sequence.
    void restart();

private:
    /// OpenSSL's state.
    void* m_context;
};

/// SHA-256 of one text. Throws std::bad_alloc where the library has no memory for it.
[[nodiscard]] Sha256::Value sha256(std::string_view);

/// SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view);

/// A checksum over a stream of bytes, the same however the stream was split.
class StreamHash {
public:
    StreamHash();
    ~StreamHash();
    StreamHash(StreamHash const&) = delete;
    StreamHash& operator=(StreamHash const&) = delete;

    void add(std::string_view);
    [[nodiscard]] std::uint64_t value() const;

private:
    void* m_state;
};

}
