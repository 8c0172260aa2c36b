#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace GraniteField::Core {

/// XXH3 with 64 bits: for placement and checksums, never for secrets.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view, std::uint64_t seed = 0);

/// SHA-256 as 64 lower-case hexadecimal digits: how a workspace's key is kept.
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
