#pragma once

#include <LibCore/Time.h>
#include <LibGateway/RoutedRequest.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// What this gateway believes an engine to keep of the prompts that it sent there: parts in the order of their last
/// use, the oldest forgotten when they exceed the engine's memory. An engine keeps more or less than this, since
/// other gateways use it too; a wrong belief costs time and never a promise.
class PrefixMemory {
public:
    /// Used where the engine's memory is not known.
    static constexpr std::uint64_t s_default_capacity = 200'000;
    /// Parts remembered for one engine.
    static constexpr std::size_t s_most_parts = 4'096;

    /// Tokens that an engine's memory holds; 0 if not known.
    void set_capacity(std::uint64_t tokens) { m_capacity = tokens == 0 ? s_default_capacity : tokens; }

    /// Tokens at the prompt's beginning that are believed to be kept.
    [[nodiscard]] std::uint32_t kept_tokens(std::span<PromptPart const> prompt) const
    {
        std::uint32_t tokens = 0;
        for (auto const& part : prompt) {
            if (!m_places.contains(part.chain))
                break;
            tokens += part.tokens;
        }
        return tokens;
    }

    /// The engine reads this prompt, and tokens behind it that no other prompt shares: they take memory as well, and
    /// put out shared parts that would else be believed to be there.
    void note_read(std::span<PromptPart const> prompt, std::uint32_t own_tokens = 0)
    {
        if (own_tokens > 0)
            remember({++m_last_own, own_tokens});
        for (auto const& part : prompt) {
            auto const place = m_places.find(part.chain);
            if (place != m_places.end()) {
                m_order.splice(m_order.begin(), m_order, place->second);
                continue;
            }
            remember(part);
        }
        while (!m_order.empty() && (m_tokens > m_capacity || m_order.size() > s_most_parts)) {
            m_tokens -= m_order.back().tokens;
            m_places.erase(m_order.back().chain);
            m_order.pop_back();
        }
    }

private:
    void remember(PromptPart const& part)
    {
        m_order.push_front(part);
        m_places.emplace(part.chain, m_order.begin());
        m_tokens += part.tokens;
    }

    /// Stands for what has no name; prompts' parts have hashes, which are never so small.
    std::uint64_t m_last_own {0};
    std::uint64_t m_capacity {s_default_capacity};
    std::uint64_t m_tokens {0};
    std::list<PromptPart> m_order;
    absl::flat_hash_map<std::uint64_t, std::list<PromptPart>::iterator> m_places;
};

}
