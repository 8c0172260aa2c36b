#include <LibEntry/PeerMessages.h>

#include <LibCore/Findings.h>
#include <LibTable/TablePages.h>

#include <algorithm>
#include <string>

namespace GraniteField::Entry {

namespace Message = granitefield::protocol;

namespace {

std::optional<Table::SheetName> sheet_of(std::uint32_t number)
{
    if (number >= Table::s_all_sheets.size())
        return std::nullopt;
    return Table::s_all_sheets.at(number);
}

Table::Edit read_edit(Message::CellEdit const& edit)
{
    auto const sheet = sheet_of(edit.sheet());
    if (!sheet) {
        Core::Findings findings;
        findings.add("sheet " + std::to_string(edit.sheet()), "there is no such sheet");
        throw Core::InvalidInput(findings);
    }
    bool const is_removal = edit.column().empty();
    return {{*sheet, edit.row(), edit.column()}, is_removal ? std::nullopt : std::optional(edit.value())};
}

}

Message::PeerRecord to_message(Peer const& peer, Core::MonotonicTime now)
{
    Message::PeerRecord record;
    record.set_name(peer.name);
    record.set_group(peer.group);
    record.set_address(peer.address);
    auto const age = std::chrono::duration_cast<Core::Milliseconds>(now - peer.last_heard);
    record.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count())));
    record.set_is_platform_reachable(peer.is_platform_reachable);
    record.set_load_address(peer.load_address);
    record.set_processor_permille(peer.processor_permille);
    return record;
}

Peer from_message(Message::PeerRecord const& record, Core::MonotonicTime now)
{
    return {record.name(), record.group(), record.address(), now - Core::Milliseconds(record.age_ms()),
        record.is_platform_reachable(), record.load_address(), record.processor_permille()};
}

Message::TableUpdate to_message(
    Table::Table const& table, Core::TableVersion from, std::optional<Table::Change> const& edits)
{
    Message::TableUpdate update;
    update.set_to_version(table.version().value());
    if (!edits) {
        update.set_whole(Table::encode_table(table));
        return update;
    }
    update.set_from_version(from.value());
    for (auto const& edit : *edits) {
        auto& cell = *update.add_edits();
        cell.set_sheet(static_cast<std::uint32_t>(edit.place.sheet));
        cell.set_row(edit.place.row);
        cell.set_column(edit.place.column);
        cell.set_value(edit.value.value_or(""));
    }
    return update;
}

std::optional<Table::Table> apply(
    Message::TableUpdate const& update, std::shared_ptr<Table::Table const> const& current)
{
    Table::Table table;
    if (update.from_version() == 0) {
        table = Table::decode_table(update.whole());
    } else {
        if (!current || current->version().value() != update.from_version())
            return std::nullopt;
        Table::Change change;
        for (auto const& edit : update.edits())
            change.push_back(read_edit(edit));
        table = current->with(change);
    }
    table.set_version(Core::TableVersion(update.to_version()));
    return table;
}

Message::HostsUpdate to_message(LeavingHosts const& hosts)
{
    Message::HostsUpdate update;
    update.set_version(hosts.version.value());
    for (auto const& address : hosts.addresses)
        update.add_leaving(address);
    return update;
}

LeavingHosts from_message(Message::HostsUpdate const& update)
{
    LeavingHosts hosts;
    hosts.version = HostsVersion(update.version());
    hosts.addresses.insert(update.leaving().begin(), update.leaving().end());
    return hosts;
}

Message::ServersUpdate to_message(ServerList const& list)
{
    Message::ServersUpdate update;
    update.set_revision(list.revision.value());
    for (auto const& server : list.servers) {
        auto& record = *update.add_servers();
        record.set_instance(server.instance);
        record.set_service(server.service);
        record.set_address(server.address.to_string());
        record.set_failure_domain(server.failure_domain);
        record.set_slots(server.slots);
        record.set_is_leaving(server.state == Table::BackendServerState::Leaving);
        record.set_born_ms(static_cast<std::uint64_t>(server.born.time_since_epoch().count()));
    }
    return update;
}

std::optional<ServerList> from_message(Message::ServersUpdate const& update)
{
    ServerList list;
    list.revision = ListRevision(update.revision());
    for (auto const& record : update.servers()) {
        auto const address = Core::Address::from_string(record.address());
        if (!address)
            return std::nullopt;
        auto const state
            = record.is_leaving() ? Table::BackendServerState::Leaving : Table::BackendServerState::Serving;
        list.servers.push_back({record.instance(), record.service(), *address, record.failure_domain(), record.slots(),
            state, Platform::BirthTime(Core::Milliseconds(record.born_ms()))});
    }
    return list;
}

}
