#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/TokenBucket.h>
#include <LibTable/Rows.h>

#include <optional>
#include <string>

#include <absl/container/node_hash_map.h>

namespace GraniteField::Entry {

/// What one entry lets each workspace use: open requests, requests a second and generated tokens a second.
///
/// The rates of the table hold for the fleet. Each entry takes its share of them, which is one part in the
/// number of entries.
class WorkspaceLimits {
public:
    /// Why a request is over a limit.
    struct Excess {
        std::string limit;
        Core::Milliseconds retry_after {0};
    };

    /// The workspaces that are tracked at once; idle ones give way.
    static constexpr std::size_t s_max_workspaces = 20'000;

    void set_entry_count(std::size_t count) { m_entry_count = count == 0 ? 1 : count; }

    [[nodiscard]] std::size_t entry_count() const { return m_entry_count; }

    /// Counts a request in, or says which limit forbids it.
    [[nodiscard]] std::optional<Excess> enter(Table::Workspace const&, Core::MonotonicTime now);
    /// The request is over.
    void leave(Table::Workspace const&);
    /// Tokens that were generated for the workspace.
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
