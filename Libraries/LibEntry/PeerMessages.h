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

/// What entries and gateways hold, as messages to their peers and back. Messages carry ages where this process has
/// times.
namespace GraniteField::Entry {

[[nodiscard]] granitefield::protocol::PeerRecord to_message(Peer const&, Core::MonotonicTime now);
[[nodiscard]] Peer from_message(granitefield::protocol::PeerRecord const&, Core::MonotonicTime now);

/// The edits that lead from one version of the table to another; version 0 stands for the empty table.
[[nodiscard]] granitefield::protocol::TableUpdate to_message(
    Core::TableVersion from, Core::TableVersion to, Table::Change const& edits);
/// Throws Core::InvalidInput when the message holds no edits.
[[nodiscard]] Table::Change read_edits(granitefield::protocol::TableUpdate const&);
/// The table that the edits of the message lead to; nothing when they lead from another one than the present. Throws
/// Core::InvalidInput.
[[nodiscard]] std::optional<Table::Table> apply(granitefield::protocol::TableUpdate const&, Table::Change const& edits,
    std::shared_ptr<Table::Table const> const& current);

[[nodiscard]] granitefield::protocol::DrainsUpdate to_message(DrainList const&);
[[nodiscard]] DrainList from_message(granitefield::protocol::DrainsUpdate const&);

[[nodiscard]] granitefield::protocol::ServersUpdate to_message(ServerChanges const&, Core::MonotonicTime now);
/// Nothing where a server's address can't be read. Throws Core::InvalidInput where the message holds no list.
[[nodiscard]] std::optional<ServerChanges> from_message(
    granitefield::protocol::ServersUpdate const&, Core::MonotonicTime now);

}
