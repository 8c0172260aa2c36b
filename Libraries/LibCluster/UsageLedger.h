#pragma once

#include <LibCluster/UsageWindow.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_set.h>

namespace GraniteField::Cluster {

/// What one gateway has counted, as far as it is told at once.
struct GatewayUsage {
    /// The gateway's incarnation.
    std::uint64_t gateway {0};
    /// All of its counts up to this window are final and have been result.
    UsageWindow closed;
    /// Of windows and workspaces; a count replaces a smaller one.
    std::map<UsageWindow, UsageCounts> windows;
};

/// The usage that all gateways have counted, kept by each of them. Counters only grow and are told by the gateway that
/// counts, so that merging is a maximum: a word that is repeated, late or out of order changes nothing, and what a
/// gateway has told is known after it was killed. No I/O and no clock; for one thread.
class UsageLedger {
public:
    /// `self` is this gateway's incarnation.
    explicit UsageLedger(std::uint64_t self)
        : m_self(self)
    {
    }

    /// A request of the workspace began to run here.
    void count(UsageWindow, std::string const& workspace);
    /// All that this gateway counts up to the window is counted. Tells the window's counts once more: what was lost on
    /// the way is made good, and whoever began meanwhile has them.
    void close(UsageWindow);
    /// Tells the counts of that closed window once more.
    void resend(UsageWindow);

    /// Whether what was taken is to be told to others as well.
    enum class Relaying {
        No,
        Yes,
    };
    void merge(GatewayUsage const&, Relaying);

    /// What is new to be told since the last call, at most so many counts; the others with the next call.
    [[nodiscard]] std::vector<GatewayUsage> take_changes(std::size_t max_counts);
    /// All that is known, at most so many counts; for one that has just begun.
    [[nodiscard]] std::vector<GatewayUsage> snapshot(std::size_t max_counts) const;
    [[nodiscard]] bool has_changes() const { return !m_changes.empty() || !m_closed_changes.empty(); }

    /// Windows behind that one in which something was counted.
    [[nodiscard]] std::vector<UsageWindow> windows_after(UsageWindow) const;
    /// Sums over all gateways.
    [[nodiscard]] UsageCounts totals(UsageWindow) const;
    /// Whether all that have counted something in the window say that their counts are final.
    [[nodiscard]] bool is_closed_by_all(UsageWindow) const;
    /// Forgets windows below that one.
    void forget_before(UsageWindow);

private:
    struct Counts {
        UsageWindow closed;
        std::map<UsageWindow, UsageCounts> windows;
    };

    /// A count that is to be result.
    struct Change {
        std::uint64_t gateway {0};
        UsageWindow window;
        std::string workspace;

        bool operator==(Change const&) const = default;

        template <typename Hash>
        friend Hash AbslHashValue(Hash hash, Change const& change)
        {
            return Hash::combine(std::move(hash), change.gateway, change.window.value(), change.workspace);
        }
    };

    std::uint64_t m_self;
    std::map<std::uint64_t, Counts> m_gateways;
    absl::flat_hash_set<Change> m_changes;
    /// Gateways whose last final window is to be result.
    absl::flat_hash_set<std::uint64_t> m_closed_changes;
};

}
