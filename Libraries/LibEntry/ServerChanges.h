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

/// What turns a list of backend servers into a later one.
struct ServerChanges {
    /// Revision of the list that they lead from; 0 for the empty one.
    ListRevision from;
    ListRevision to;
    /// Servers that are new, or described otherwise.
    std::vector<ServerEntry> changed;
    /// Instances of servers that are gone.
    std::vector<std::string> removed;
    /// Of the list that they lead to.
    std::uint64_t digest {0};
};

/// A number that two lists share when they hold the same servers, whatever their order. How long servers are cold is
/// left out: each process counts it by its own clock.
[[nodiscard]] std::uint64_t digest_of(ServerList const&);

[[nodiscard]] ServerChanges difference(ServerList const& from, ServerList const& to);

/// The list with the changes; nothing where they lead from another list. Two processes may know different lists under
/// one revision, since a removal has no revision of its own, which only the digest tells. `current` may be null.
[[nodiscard]] std::optional<ServerList> apply_changes(
    ServerChanges const&, std::shared_ptr<ServerList const> const& current);

/// The latest steps of the list of backend servers, so that a peer that is a few revisions behind gets the changes
/// alone: whole lists cost bytes by gateways, times servers, times changes, which all grow with the fleet.
class ServerHistory {
public:
    static constexpr std::size_t s_max_steps = 64;

    /// Notes the list that is known now.
    void note(std::shared_ptr<ServerList const>);
    /// The same for a list that came as these changes.
    void note_step(std::shared_ptr<ServerList const>, ServerChanges);

    /// The changes that lead from that revision to the present list; nothing when they are not known.
    [[nodiscard]] std::optional<ServerChanges> changes_since(ListRevision) const;

private:
    void add_step(ServerChanges);

    std::shared_ptr<ServerList const> m_current;
    std::deque<ServerChanges> m_steps;
};

}
