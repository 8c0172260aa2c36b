#pragma once

#include <LibEntry/SharedServers.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Entry {

/// Changes between two revisions of the list of backend servers.
struct ServerChanges {
    /// Revision that the changes apply to; 0 for the empty list.
    ListRevision from;
    ListRevision to;
    /// Servers that were added or whose description changed.
    std::vector<ServerEntry> changed;
    /// Instances of removed servers.
    std::vector<std::string> removed;
    /// Digest of the resulting list.
    std::uint64_t digest {0};
};

/// Digest of the servers of a list, independent of their order. The remaining cold time is not included, since each
/// process counts it by its own clock.
[[nodiscard]] std::uint64_t digest_of(ServerList const&);

[[nodiscard]] ServerChanges difference(ServerList const& from, ServerList const& to);

/// Applies changes to a list; `current` may be null. Returns nothing if they were made for another list. A removal has
/// no revision of its own, so that two processes may have different lists under one revision; the digest detects this.
[[nodiscard]] std::optional<ServerList> apply_changes(
    ServerChanges const&, std::shared_ptr<ServerList const> const& current);

/// The latest changes of the list of backend servers, so that a peer that is a few revisions behind receives only
/// these. Whole lists would cost bytes in proportion to gateways, servers and changes, which all grow with the fleet.
class ServerHistory {
public:
    static constexpr std::size_t s_max_steps = 64;

    /// Records the current list.
    void note(std::shared_ptr<ServerList const>);
    /// Records a list that was received as these changes.
    void note_step(std::shared_ptr<ServerList const>, ServerChanges);

    /// Returns the changes from that revision to the current list; nothing if the revision is not in the history.
    [[nodiscard]] std::optional<ServerChanges> changes_since(ListRevision) const;

private:
    void add_step(ServerChanges);

    std::shared_ptr<ServerList const> m_current;
    std::deque<ServerChanges> m_steps;
};

}
