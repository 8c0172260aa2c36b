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

/// Counts of one gateway, as far as they fit into one message.
struct GatewayUsage {
    /// The gateway's incarnation.
    std::uint64_t gateway {0};
    /// All counts up to this window are final and were sent.
    UsageWindow closed;
    /// Counts by window and workspace; a larger count replaces a smaller one.
    std::map<UsageWindow, UsageCounts> windows;
};

/// Usage counted by all gateways; each gateway keeps a copy. Counters only grow, and only the gateway that counts sends
/// them, so merging takes the maximum: repeated, late or reordered messages change nothing, and counts that a gateway
/// has sent survive it. Performs no I/O and reads no clock; not thread-safe.
class UsageLedger {
public:
    /// `self` is this gateway's incarnation.
    explicit UsageLedger(std::uint64_t self)
        : m_self(self)
    {
    }

    /// Counts a request of the workspace that started to run on this gateway.
    void count(UsageWindow, std::string const& workspace);
    /// Declares this gateway's counts up to the window final. Sends the window's counts once more, which replaces lost
    /// messages and informs gateways that started in the meantime.
    void close(UsageWindow);
    /// Sends the counts of the closed window once more.
    void resend(UsageWindow);

    /// Whether merged counts are sent on to other gateways.
    enum class Relaying {
        No,
        Yes,
    };
    void merge(GatewayUsage const&, Relaying);

    /// Returns at most `max_counts` counts that changed since the last call; the rest follows with the next call.
    [[nodiscard]] std::vector<GatewayUsage> take_changes(std::size_t max_counts);
    /// Returns all known counts, at most `max_counts`, for a gateway that has just started.
    [[nodiscard]] std::vector<GatewayUsage> snapshot(std::size_t max_counts) const;
    [[nodiscard]] bool has_changes() const { return !m_changes.empty() || !m_closed_changes.empty(); }

    /// Returns the windows after the given one that have counts.
    [[nodiscard]] std::vector<UsageWindow> windows_after(UsageWindow) const;
    /// Returns the sums over all gateways.
    [[nodiscard]] UsageCounts totals(UsageWindow) const;
    /// Returns whether all gateways with counts in the window have closed it.
    [[nodiscard]] bool is_closed_by_all(UsageWindow) const;
    /// Removes all windows before the given one.
    void forget_before(UsageWindow);

private:
    struct Counts {
        UsageWindow closed;
        std::map<UsageWindow, UsageCounts> windows;
    };

    /// A count that is to be sent.
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
    /// Gateways whose last closed window is to be sent.
    absl::flat_hash_set<std::uint64_t> m_closed_changes;
};

}
