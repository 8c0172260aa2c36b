#pragma once

#include <LibCore/Time.h>
#include <LibEntry/PeerView.h>
#include <LibEntry/SharedHosts.h>
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

/// The edits that lead from that version to the table, or the whole table where `edits` is nothing.
[[nodiscard]] granitefield::protocol::TableUpdate to_message(
    Table::Table const&, Core::TableVersion from, std::optional<Table::Change> const& edits);
/// The table that the update makes of the present one; nothing where it does not follow on that. Throws
/// Core::InvalidInput where no table can be made of it.
[[nodiscard]] std::optional<Table::Table> apply(
    granitefield::protocol::TableUpdate const&, std::shared_ptr<Table::Table const> const& current);

[[nodiscard]] granitefield::protocol::HostsUpdate to_message(LeavingHosts const&);
[[nodiscard]] LeavingHosts from_message(granitefield::protocol::HostsUpdate const&);

[[nodiscard]] granitefield::protocol::ServersUpdate to_message(ServerList const&);
/// Nothing where a server's address can't be read.
[[nodiscard]] std::optional<ServerList> from_message(granitefield::protocol::ServersUpdate const&);

}
