#pragma once

#include <LibCore/Time.h>
#include <LibGateway/RoutedRequest.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Estimates which prompt prefixes an engine has cached: parts of the prompts sent there, in order of their last use,
/// evicting the oldest beyond the engine's capacity. The actual cache differs, since other gateways send prompts as
/// well. A wrong estimate costs time but breaks no guarantee.
class PrefixCacheModel {
public:
    /// Capacity in tokens if the engine's capacity is unknown.
    static constexpr std::uint64_t s_default_capacity = 200'000;
    /// Maximum number of parts recorded for one engine.
    static constexpr std::size_t s_max_parts = 4'096;

    /// Sets the number of tokens that the engine's cache holds; 0 if unknown.
    void set_capacity(std::uint64_t tokens) { m_capacity = tokens == 0 ? s_default_capacity : tokens; }

    /// Returns the number of tokens at the start of the prompt that are estimated to be cached.
    [[nodiscard]] std::uint32_t cached_tokens(std::span<PromptPart const> prompt) const
    {
        std::uint32_t tokens = 0;
        for (auto const& part : prompt) {
            if (!m_entries.contains(part.prefix_hash))
                break;
            tokens += part.tokens;
        }
        return tokens;
    }

    /// Records that the engine prefills this prompt, followed by `own_tokens` that no other prompt shares. These take
    /// up capacity as well and evict shared parts, which would otherwise be overestimated.
    void note_prefill(std::span<PromptPart const> prompt, std::uint32_t own_tokens = 0)
    {
        if (own_tokens > 0)
            insert({++m_last_anonymous_id, own_tokens});
        for (auto const& part : prompt) {
            auto const entry = m_entries.find(part.prefix_hash);
            if (entry != m_entries.end()) {
                m_recently_used.splice(m_recently_used.begin(), m_recently_used, entry->second);
                continue;
            }
            insert(part);
        }
        while (!m_recently_used.empty() && (m_tokens > m_capacity || m_recently_used.size() > s_max_parts)) {
            m_tokens -= m_recently_used.back().tokens;
            m_entries.erase(m_recently_used.back().prefix_hash);
            m_recently_used.pop_back();
        }
    }

private:
    void insert(PromptPart const& part)
    {
        m_recently_used.push_front(part);
        m_entries.emplace(part.prefix_hash, m_recently_used.begin());
        m_tokens += part.tokens;
    }

    /// Id for parts without a hash; hashes of prompt parts are never that small.
    std::uint64_t m_last_anonymous_id {0};
    std::uint64_t m_capacity {s_default_capacity};
    std::uint64_t m_tokens {0};
    std::list<PromptPart> m_recently_used;
    absl::flat_hash_map<std::uint64_t, std::list<PromptPart>::iterator> m_entries;
};

}
