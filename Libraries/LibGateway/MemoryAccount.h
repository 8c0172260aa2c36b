#pragma once

#include <array>
#include <cstddef>
#include <numeric>
#include <string_view>
#include <utility>

namespace GraniteField::Gateway {

/// What a gateway holds memory for.
enum class MemoryUse {
    /// Input not parsed yet and output not written yet, of all caller connections.
    CallerBuffers,
    RequestBodies,
    /// Responses and events that are held until they are complete.
    BufferedResponses,
};

inline constexpr std::array s_memory_uses {
    MemoryUse::CallerBuffers, MemoryUse::RequestBodies, MemoryUse::BufferedResponses};

[[nodiscard]] constexpr std::string_view to_string(MemoryUse use)
{
    switch (use) {
    case MemoryUse::CallerBuffers:
        return "caller-buffers";
    case MemoryUse::RequestBodies:
        return "request-bodies";
    case MemoryUse::BufferedResponses:
        return "buffered-responses";
    }
    return "";
}

/// Counts the bytes that a gateway holds for its callers. Used on the gateway's thread only; outlives its charges.
class MemoryAccount {
public:
    [[nodiscard]] std::size_t held_for(MemoryUse use) const { return m_bytes[static_cast<std::size_t>(use)]; }
    [[nodiscard]] std::size_t total() const { return std::accumulate(m_bytes.begin(), m_bytes.end(), std::size_t {0}); }

private:
    friend class MemoryCharge;

    std::array<std::size_t, s_memory_uses.size()> m_bytes {};
};

/// The bytes that one owner holds. They leave the account with the charge.
class MemoryCharge {
public:
    MemoryCharge() = default;
    MemoryCharge(MemoryAccount& account, MemoryUse use)
        : m_total(&account.m_bytes[static_cast<std::size_t>(use)])
    {
    }
    ~MemoryCharge() { set(0); }
    MemoryCharge(MemoryCharge const&) = delete;
    MemoryCharge& operator=(MemoryCharge const&) = delete;
    MemoryCharge(MemoryCharge&& other) noexcept
        : m_total(std::exchange(other.m_total, nullptr))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    MemoryCharge& operator=(MemoryCharge&& other) noexcept
    {
        std::swap(m_total, other.m_total);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }

    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    /// Does nothing for a charge without an account.
    void set(std::size_t bytes)
    {
        if (m_total == nullptr)
            return;
        *m_total = *m_total - m_bytes + bytes;
        m_bytes = bytes;
    }

private:
    std::size_t* m_total {nullptr};
    std::size_t m_bytes {0};
};

}
