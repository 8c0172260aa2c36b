#pragma once

#include <LibCore/Time.h>
#include <LibEntry/PeerView.h>
#include <LibEntry/ServerChanges.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedServers.h>
#include <LibTable/Table.h>

#include <Peers.pb.h>

#include <memory>
#include <optional>

/// Conversion between the state of an entry or gateway and the messages to its peers. Messages carry ages in place of
/// times, since processes do not share a monotonic clock.
namespace GraniteField::Entry {

[[nodiscard]] granitefield::protocol::PeerRecord to_message(Peer const&, Core::MonotonicTime now);
[[nodiscard]] Peer from_message(granitefield::protocol::PeerRecord const&, Core::MonotonicTime now);

/// Encodes the edits between two versions of the table; version 0 is the empty table.
[[nodiscard]] granitefield::protocol::TableUpdate to_message(
    Core::TableVersion from, Core::TableVersion to, Table::Change edits);
/// Throws Core::InvalidInput if the edits cannot be decoded.
[[nodiscard]] Table::Change read_edits(granitefield::protocol::TableUpdate const&);
/// Applies the edits of a message to the current table. Returns nothing if they start from another version. Throws
/// Core::InvalidInput if a cell has no meaning, since a peer sends what it has read itself. Rows that the peer could
/// not read are marked in its edits.
[[nodiscard]] std::optional<Table::Table> apply(granitefield::protocol::TableUpdate const&, Table::Change const& edits,
    std::shared_ptr<Table::Table const> const& current);

[[nodiscard]] granitefield::protocol::DrainsUpdate to_message(DrainList const&);
[[nodiscard]] DrainList from_message(granitefield::protocol::DrainsUpdate const&);

[[nodiscard]] granitefield::protocol::ServersUpdate to_message(ServerChanges const&, Core::MonotonicTime now);
/// Returns nothing if the address of a server cannot be parsed. Throws Core::InvalidInput if the list cannot be
/// decoded.
[[nodiscard]] std::optional<ServerChanges> from_message(
    granitefield::protocol::ServersUpdate const&, Core::MonotonicTime now);

}
