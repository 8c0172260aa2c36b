#include <LibCore/Compression.h>

#include <LibCore/Findings.h>

#include <new>

#include <zstd.h>

namespace GraniteField::Core {

namespace {

constexpr int s_fastest_level = 1;

[[noreturn]] void reject(std::string reason)
{
    Findings findings;
    findings.add("compressed bytes", std::move(reason));
    throw InvalidInput(findings);
}

}

std::string compress(std::string_view bytes)
{
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    auto const size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(), bytes.size(), s_fastest_level);
    // With room for the bound only memory can be missing.
    if (ZSTD_isError(size) != 0)
        throw std::bad_alloc();
    compressed.resize(size);
    compressed.shrink_to_fit();
    return compressed;
}

std::string decompress(std::string_view bytes, std::size_t largest)
{
    auto const size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        reject("do not say their size");
    if (size > largest)
        reject("stand for more than is allowed");
    std::string whole(size, '\0');
    auto const written = ZSTD_decompress(whole.data(), whole.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0 || written != whole.size())
        reject("are damaged");
    return whole;
}

}
