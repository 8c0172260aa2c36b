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
class PrefixCacheModel {
public:
    /// Used where the engine's memory is not known.
    static constexpr std::uint64_t s_default_capacity = 200'000;
    /// Parts remembered for one engine.
    static constexpr std::size_t s_max_parts = 4'096;

    /// Tokens that an engine's memory holds; 0 if not known.
    void set_capacity(std::uint64_t tokens) { m_capacity = tokens == 0 ? s_default_capacity : tokens; }

    /// Tokens at the prompt's beginning that are believed to be kept.
    [[nodiscard]] std::uint32_t cached_tokens(std::span<PromptPart const> prompt) const
    {
        std::uint32_t tokens = 0;
        for (auto const& part : prompt) {
            if (!m_entries.contains(part.chain))
                break;
            tokens += part.tokens;
        }
        return tokens;
    }

    /// The engine reads this prompt, and tokens behind it that no other prompt shares: they take memory as well, and
    /// put out shared parts that would else be believed to be there.
    void note_prefill(std::span<PromptPart const> prompt, std::uint32_t own_tokens = 0)
    {
        if (own_tokens > 0)
            insert({++m_last_anonymous_id, own_tokens});
        for (auto const& part : prompt) {
            auto const entry = m_entries.find(part.chain);
            if (entry != m_entries.end()) {
                m_recently_used.splice(m_recently_used.begin(), m_recently_used, entry->second);
                continue;
            }
            insert(part);
        }
        while (!m_recently_used.empty() && (m_tokens > m_capacity || m_recently_used.size() > s_max_parts)) {
            m_tokens -= m_recently_used.back().tokens;
            m_entries.erase(m_recently_used.back().chain);
            m_recently_used.pop_back();
        }
    }

private:
    void insert(PromptPart const& part)
    {
        m_recently_used.push_front(part);
        m_entries.emplace(part.chain, m_recently_used.begin());
        m_tokens += part.tokens;
    }

    /// Stands for what has no name; prompts' parts have hashes, which are never so small.
    std::uint64_t m_last_anonymous_id {0};
    std::uint64_t m_capacity {s_default_capacity};
    std::uint64_t m_tokens {0};
    std::list<PromptPart> m_recently_used;
    absl::flat_hash_map<std::uint64_t, std::list<PromptPart>::iterator> m_entries;
};

}
