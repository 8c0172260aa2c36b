#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/TokenBucket.h>
#include <LibTable/Rows.h>

#include <optional>
#include <string>

#include <absl/container/node_hash_map.h>

namespace GraniteField::Entry {

/// Limits of each workspace on one entry: open requests, requests per second and generated tokens per second.
///
/// The rates in the table apply to the whole fleet. Each entry enforces its share, which is the rate divided by the
/// number of entries.
class WorkspaceLimits {
public:
    /// The limit that a request exceeds.
    struct Excess {
        std::string limit;
        Core::Milliseconds retry_after {0};
    };

    /// Maximum number of workspaces that are tracked; above it, idle ones are removed.
    static constexpr std::size_t s_max_workspaces = 20'000;

    void set_entry_count(std::size_t count) { m_entry_count = count == 0 ? 1 : count; }

    [[nodiscard]] std::size_t entry_count() const { return m_entry_count; }

    /// Counts a request as open, or returns the limit that it exceeds.
    [[nodiscard]] std::optional<Excess> enter(Table::Workspace const&, Core::MonotonicTime now);
    /// Ends a request that enter() counted.
    void leave(Table::Workspace const&);
    /// Charges tokens that were generated for the workspace.
    void charge_tokens(Table::Workspace const&, std::uint32_t tokens, Core::MonotonicTime now);

private:
    struct Usage {
        unsigned open {0};
        unsigned requests_per_second {0};
        unsigned tokens_per_second {0};
        std::size_t entry_count {0};
        Policy::TokenBucket requests;
        Policy::TokenBucket tokens;
    };

    [[nodiscard]] Usage& usage_of(Table::Workspace const&);

    std::size_t m_entry_count {1};
    absl::node_hash_map<std::string, Usage> m_usages;
};

}
