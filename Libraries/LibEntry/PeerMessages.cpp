#include <LibEntry/PeerMessages.h>

#include <LibCore/Compression.h>
#include <LibCore/Findings.h>
#include <LibCore/Text.h>
#include <LibProtocol/ProtocolVersion.h>

#include <algorithm>
#include <string>
#include <utility>

namespace GraniteField::Entry {

namespace Message = granitefield::protocol;

namespace {

std::optional<Table::SheetName> sheet_from_number(std::uint32_t number)
{
    if (number >= Table::s_all_sheets.size())
        return std::nullopt;
    return Table::s_all_sheets.at(number);
}

[[noreturn]] void reject(std::string place, std::string reason)
{
    Core::Findings findings;
    findings.add(std::move(place), std::move(reason));
    throw Core::InvalidInput(findings);
}

/// Takes the edits over, which may be ten times as large as the largest configuration.
std::string serialize(Table::Change edits)
{
    Message::TableEdits list;
    for (auto& edit : edits) {
        auto& cell = *list.add_edits();
        cell.set_sheet(static_cast<std::uint32_t>(edit.place.sheet));
        cell.set_row(std::move(edit.place.row));
        cell.set_column(std::move(edit.place.column));
        cell.set_value(std::move(edit.value).value_or(""));
    }
    return list.SerializeAsString();
}

std::string decompress_field(std::string const& bytes)
{
    return Core::decompress(bytes, Protocol::s_largest_message_bytes);
}

Table::Edit read_edit(Message::CellEdit& edit)
{
    auto const sheet = sheet_from_number(edit.sheet());
    if (!sheet)
        reject(Core::concat("sheet ", edit.sheet()), "there is no such sheet");
    bool const is_removal = edit.column().empty();
    auto value = is_removal ? std::nullopt : std::optional(std::move(*edit.mutable_value()));
    return {{*sheet, std::move(*edit.mutable_row()), std::move(*edit.mutable_column())}, std::move(value)};
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

Message::TableUpdate to_message(Core::TableVersion from, Core::TableVersion to, Table::Change edits)
{
    Message::TableUpdate update;
    update.set_from_version(from.value());
    update.set_to_version(to.value());
    // Each cell names its sheet, row and column, which compresses well. Compression matters on small hosts, whose link
    // carries the update to several peers.
    update.set_compressed_edits(Core::compress(serialize(std::move(edits))));
    return update;
}

Table::Change read_edits(Message::TableUpdate const& update)
{
    Message::TableEdits list;
    if (!list.ParseFromString(decompress_field(update.compressed_edits())))
        reject("edits", "the list of edits cannot be parsed");
    Table::Change edits;
    edits.reserve(static_cast<std::size_t>(list.edits_size()));
    for (auto& edit : *list.mutable_edits())
        edits.push_back(read_edit(edit));
    return edits;
}

std::optional<Table::Table> apply(
    Message::TableUpdate const& update, Table::Change const& edits, std::shared_ptr<Table::Table const> const& current)
{
    bool const is_whole = update.from_version() == 0;
    if (!is_whole && (!current || current->version().value() != update.from_version()))
        return std::nullopt;
    Core::Findings findings;
    auto table = is_whole ? Table::Table().with_accepted(edits, findings) : current->with_accepted(edits, findings);
    if (!findings.is_empty())
        throw Core::InvalidInput(findings);
    table.set_version(Core::TableVersion(update.to_version()));
    return table;
}

Message::DrainsUpdate to_message(DrainList const& drains)
{
    Message::DrainsUpdate update;
    update.set_version(drains.version.value());
    for (auto const& host : drains.hosts)
        update.add_hosts(host);
    for (auto const& domain : drains.failure_domains)
        update.add_failure_domains(domain);
    return update;
}

DrainList from_message(Message::DrainsUpdate const& update)
{
    DrainList drains;
    drains.version = DrainsVersion(update.version());
    drains.hosts.insert(update.hosts().begin(), update.hosts().end());
    drains.failure_domains.insert(update.failure_domains().begin(), update.failure_domains().end());
    return drains;
}

Message::ServersUpdate to_message(ServerChanges const& changes, Core::MonotonicTime now)
{
    Message::ServerRecords records;
    for (auto const& server : changes.changed) {
        auto& record = *records.add_servers();
        record.set_instance(server.instance);
        record.set_service(server.service);
        record.set_address(server.address.to_string());
        record.set_failure_domain(server.failure_domain);
        record.set_slots(server.slots);
        record.set_is_leaving(server.state == Table::BackendServerState::Leaving);
        record.set_born_ms(static_cast<std::uint64_t>(server.born.time_since_epoch().count()));
        auto const cold = std::max(Core::Milliseconds(0), Core::elapsed(now, server.cold_until));
        record.set_cold_ms(static_cast<std::uint32_t>(cold.count()));
        record.set_software_version(server.software_version);
    }
    for (auto const& instance : changes.removed)
        records.add_gone(instance);
    Message::ServersUpdate update;
    update.set_from_revision(changes.from.value());
    update.set_revision(changes.to.value());
    update.set_digest(changes.digest);
    update.set_compressed_servers(Core::compress(records.SerializeAsString()));
    return update;
}

std::optional<ServerChanges> from_message(Message::ServersUpdate const& update, Core::MonotonicTime now)
{
    Message::ServerRecords records;
    if (!records.ParseFromString(decompress_field(update.compressed_servers())))
        reject("servers", "the list of servers cannot be parsed");
    ServerChanges changes;
    changes.from = ListRevision(update.from_revision());
    changes.to = ListRevision(update.revision());
    changes.digest = update.digest();
    changes.removed.assign(records.gone().begin(), records.gone().end());
    for (auto const& record : records.servers()) {
        auto const address = Core::Address::from_string(record.address());
        if (!address)
            return std::nullopt;
        auto const cold_until
            = record.cold_ms() > 0 ? now + Core::Milliseconds(record.cold_ms()) : Core::MonotonicTime();
        auto const state
            = record.is_leaving() ? Table::BackendServerState::Leaving : Table::BackendServerState::Serving;
        changes.changed.push_back(
            {record.instance(), record.service(), *address, record.failure_domain(), record.slots(), state,
                Platform::BirthTime(Core::Milliseconds(record.born_ms())), cold_until, record.software_version()});
    }
    return changes;
}

}
