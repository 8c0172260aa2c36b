#include <LibGateway/LoadSharing.h>

#include <LibProtocol/ProtocolVersion.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace GraniteField::Gateway {

namespace {

/// Number of own reports kept to subtract them from the sums of a relay: three seconds' worth.
constexpr std::size_t s_max_own_reports = 60;
/// Maximum number of prompt parts in a placement; longer prefixes are shared by few prompts.
constexpr int s_max_parts = 64;
constexpr auto s_ticks_per_refresh = static_cast<std::size_t>(LoadSharing::s_refresh / LoadSharing::s_interval);

void write_load(granitefield::protocol::ServerLoad& message, std::uint64_t server, ServerLoad const& load)
{
    message.set_server(server);
    message.set_open(load.open);
    message.set_unread_tokens(static_cast<std::uint32_t>(load.unread_tokens));
    message.set_pause_sensitive(load.pause_sensitive);
}

LoadsByServer read_loads(google::protobuf::RepeatedPtrField<granitefield::protocol::ServerLoad> const& messages)
{
    LoadsByServer loads;
    loads.reserve(static_cast<std::size_t>(messages.size()));
    for (auto const& message : messages)
        loads[message.server()] = {message.open(), message.unread_tokens(), message.pause_sensitive()};
    return loads;
}

std::span<std::uint64_t const> span_of(google::protobuf::RepeatedField<std::uint64_t> const& values)
{
    return {values.data(), static_cast<std::size_t>(values.size())};
}

/// Subtracts with a lower bound of zero, since the subtracted load may be older.
ServerLoad difference(ServerLoad const& load, ServerLoad const& subtracted)
{
    return {load.open - std::min(load.open, subtracted.open),
        load.unread_tokens - std::min(load.unread_tokens, subtracted.unread_tokens),
        load.pause_sensitive - std::min(load.pause_sensitive, subtracted.pause_sensitive)};
}

/// Maximum age of a watcher's activity that is reported. Other gateways take over the watch long before that.
constexpr Core::Milliseconds s_max_report_age {60'000};

std::optional<std::uint32_t> age_of(std::optional<Core::MonotonicTime> time, Core::MonotonicTime now)
{
    if (!time || Core::elapsed(*time, now) > s_max_report_age)
        return std::nullopt;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, Core::elapsed(*time, now).count()));
}

void write_store_report(
    granitefield::protocol::StoreWord& message, Entry::StoreReport const& report, Core::MonotonicTime now)
{
    if (auto const age = age_of(report.elected_healthy_at, now))
        message.set_elected_age_ms(*age);
    if (auto const age = age_of(report.any_healthy_at, now))
        message.set_any_age_ms(*age);
    message.set_table_version(report.versions.table.value());
    message.set_servers_revision(report.versions.servers.value());
    message.set_drains_version(report.versions.drains.value());
}

Entry::StoreReport read_store_report(granitefield::protocol::StoreWord const& message, Core::MonotonicTime arrived)
{
    Entry::StoreReport report;
    if (message.has_elected_age_ms())
        report.elected_healthy_at = arrived - Core::Milliseconds(message.elected_age_ms());
    if (message.has_any_age_ms())
        report.any_healthy_at = arrived - Core::Milliseconds(message.any_age_ms());
    report.versions = {Core::TableVersion(message.table_version()), Entry::DrainsVersion(message.drains_version()),
        Entry::ListRevision(message.servers_revision())};
    return report;
}

std::shared_ptr<std::string const> serialize(LoadSharing::Datagram& datagram)
{
    datagram.set_protocol_version(Protocol::s_protocol_version);
    return std::make_shared<std::string const>(datagram.SerializeAsString());
}

}

LoadSharing::LoadSharing(std::uint64_t self, BackendFleet& fleet, CrashSharing crashes, DutySharing* duties,
    Core::MonotonicTime started, DemandSharing* demand, StreamOriginSharing* streams)
    : m_self(self)
    , m_fleet(fleet)
    , m_crash_sharing(crashes)
    , m_signal_sharing(fleet)
    , m_duty_sharing(duties)
    , m_demand_sharing(demand)
    , m_streams(streams)
    , m_election(started)
    , m_reporter_loads(fleet)
    , m_relay_loads(fleet)
{
}

void LoadSharing::set_members(Entry::LoadMembers const& members)
{
    m_election.set_members(members);
    m_peer_count = members.peers.size();
    if (m_streams != nullptr)
        m_streams->set_members(members);
}

void LoadSharing::note_placement(BackendView const& server, std::span<PromptPart const> parts, std::uint32_t own_tokens)
{
    if (parts.empty() || m_placements.size() >= s_max_placements)
        return;
    Placement placement;
    placement.set_server(server.id());
    placement.set_own_tokens(own_tokens);
    for (auto const& part : parts.first(std::min<std::size_t>(parts.size(), s_max_parts))) {
        placement.add_chains(part.prefix_hash);
        placement.add_tokens(part.tokens);
    }
    m_placements.push_back(std::move(placement));
}

bool LoadSharing::is_within_bounds(Datagram const& datagram)
{
    auto const are_valid = [](auto const& placements) {
        return placements.size() <= static_cast<int>(s_max_placements)
            && std::ranges::all_of(placements, [](auto const& placement) {
                   return placement.chains_size() == placement.tokens_size() && placement.chains_size() <= s_max_parts;
               });
    };
    auto const& report = datagram.report();
    bool const is_report_valid = report.servers_size() <= static_cast<int>(s_max_servers)
        && are_valid(report.placements()) && are_valid(report.placements_before());
    auto const max_suspected = static_cast<int>(s_max_suspected);
    bool const are_server_states_valid = report.unreachable_size() <= max_suspected
        && report.broken_size() <= max_suspected && report.answering_size() <= max_suspected;
    bool const are_shared_parts_valid = DutySharing::is_within_bounds(report)
        && CrashSharing::is_within_bounds(report.crashes()) && SignalSharing::is_within_bounds(report.signals())
        && DemandSharing::is_within_bounds(report.demand()) && StreamOriginSharing::is_within_bounds(datagram.streams())
        && std::ranges::all_of(datagram.relayed(), [](auto const& relayed) {
               return DutySharing::is_within_bounds(relayed) && CrashSharing::is_within_bounds(relayed.crashes())
                   && SignalSharing::is_within_bounds(relayed.signals())
                   && DemandSharing::is_within_bounds(relayed.demand());
           });
    return is_report_valid && are_server_states_valid && are_shared_parts_valid
        && datagram.relayed_size() <= static_cast<int>(s_max_forwarded) + 1
        && std::ranges::all_of(datagram.relayed(), [&](auto const& relayed) {
               return relayed.servers_size() <= static_cast<int>(s_max_servers) && are_valid(relayed.placements())
                   && relayed.suspected_size() <= max_suspected && relayed.answering_size() <= max_suspected;
           });
}

bool LoadSharing::receive(
    Datagram const& datagram, std::string const& from, Core::MonotonicTime now, Core::Milliseconds waited)
{
    bool const is_accepted = datagram.protocol_version() == Protocol::s_protocol_version && m_election.is_member(from)
        && is_within_bounds(datagram);
    if (!is_accepted)
        return false;
    if (datagram.has_report())
        receive_report(datagram.report(), from, now, waited);
    if (datagram.relayed_size() > 0)
        m_election.note_relay_datagram(from, now);
    for (auto const& relayed : datagram.relayed())
        receive_relayed(relayed, now, waited);
    if (m_streams != nullptr && datagram.has_streams())
        m_streams->receive(datagram.streams(), from, now);
    return true;
}

void LoadSharing::receive_report(granitefield::protocol::GatewayLoad const& report, std::string const& from,
    Core::MonotonicTime now, Core::Milliseconds waited)
{
    if (report.sender() == m_self)
        return;
    m_received_store_report.merge(read_store_report(report.store(), now - waited));
    if (m_duty_sharing != nullptr)
        m_duty_sharing->receive_report(report, now);
    m_crash_sharing.receive(report.crashes(), Policy::CrashLedger::Relaying::Yes, now);
    m_signal_sharing.receive(report.signals(), Policy::Relaying::Yes, now);
    m_has_new_reporter = m_has_new_reporter || m_aggregator.last_sequence_of(report.sender()) == 0;
    bool const has_gap = m_aggregator.last_sequence_of(report.sender()) + 1 < report.sequence();
    auto loads = read_loads(report.servers());
    m_reporter_loads.apply(report.sender(), report.sequence(), LoadSources::ReportKind::Full, loads, now);
    if (!m_aggregator.update(report.sender(), {report.sequence(), now, from, std::move(loads)}))
        return;
    if (m_demand_sharing != nullptr)
        m_demand_sharing->receive_report(report.demand(), report.sender(), now);
    collect_suspicions(span_of(report.unreachable()), span_of(report.broken()), span_of(report.answering()), now);
    if (has_gap)
        relay_placements(report.placements_before());
    relay_placements(report.placements());
}

void LoadSharing::relay_placements(google::protobuf::RepeatedPtrField<Placement> const& placements)
{
    apply_placements(placements);
    for (auto const& placement : placements) {
        if (m_relay_placements.size() < s_max_placements)
            m_relay_placements.push_back(placement);
    }
}

void LoadSharing::apply_placements(google::protobuf::RepeatedPtrField<Placement> const& placements)
{
    std::vector<PromptPart> parts;
    for (auto const& placement : placements) {
        auto const server = m_fleet.find(placement.server());
        if (!server)
            continue;
        parts.clear();
        for (int index = 0; index < placement.chains_size(); ++index)
            parts.push_back({placement.chains(index), placement.tokens(index)});
        server->prefixes().note_prefill(parts, placement.own_tokens());
    }
}

void LoadSharing::receive_relayed(RelayedLoad const& relayed, Core::MonotonicTime now, Core::Milliseconds waited)
{
    if (relayed.relay() == m_self)
        return;
    m_received_store_report.merge(read_store_report(relayed.store(), now - waited));
    if (m_duty_sharing != nullptr)
        m_duty_sharing->receive_relayed(
            relayed, is_from_own_relay(relayed) ? DutySharing::Sender::OwnRelay : DutySharing::Sender::Other, now);
    m_crash_sharing.receive(relayed.crashes(), Policy::CrashLedger::Relaying::No, now);
    m_signal_sharing.receive(relayed.signals(), Policy::Relaying::No, now);
    auto loads = read_loads(relayed.servers());
    subtract_own_load(relayed, loads);
    if (!m_relay_loads.apply(relayed.relay(), relayed.sequence(), LoadSources::ReportKind::Delta, loads, now))
        return;
    if (m_demand_sharing != nullptr) {
        using Sender = DemandSharing::Sender;
        auto const sender = is_from_own_relay(relayed) ? Sender::OwnRelay : Sender::Other;
        m_demand_sharing->receive_relayed(relayed.demand(), relayed.relay(), sender, now);
    }
    apply_placements(relayed.placements());
    apply_suspicions(relayed, now);
    if (m_aggregator.reports().empty() || m_forwarded.size() >= s_max_forwarded)
        return;
    m_forwarded.push_back(relayed);
    m_forwarded.back().clear_counted();
    // Its ages do not include the wait here; the report of this relay does.
    m_forwarded.back().clear_store();
}

void LoadSharing::subtract_own_load(RelayedLoad const& relayed, LoadsByServer& loads) const
{
    auto const counted
        = std::ranges::find_if(relayed.counted(), [this](auto const& report) { return report.gateway() == m_self; });
    if (counted == relayed.counted().end())
        return;
    auto const own = std::ranges::find(m_own_reports, counted->sequence(), &OwnReport::sequence);
    if (own == m_own_reports.end())
        return;
    for (auto& [server, load] : loads) {
        auto const found = own->loads.find(server);
        if (found != own->loads.end())
            load = difference(load, found->second);
    }
}

void LoadSharing::mark_suspected(std::uint64_t server, Core::MonotonicTime now)
{
    if (auto const view = m_fleet.find(server))
        view->note_suspected(m_peer_count + 1, now);
}

void LoadSharing::mark_alive(std::uint64_t server)
{
    if (auto const view = m_fleet.find(server))
        static_cast<void>(view->note_alive());
}

void LoadSharing::collect_suspicions(std::span<std::uint64_t const> unreachable, std::span<std::uint64_t const> broken,
    std::span<std::uint64_t const> answering, Core::MonotonicTime now)
{
    std::vector<std::uint64_t> dead_servers(unreachable.begin(), unreachable.end());
    for (auto const server : broken) {
        if (m_failure_detector.note_broken_answer(server, now))
            dead_servers.push_back(server);
    }
    for (auto const server : dead_servers) {
        mark_suspected(server, now);
        if (m_suspected_to_send.size() < s_max_suspected)
            m_suspected_to_send.insert(server);
    }
    for (auto const server : answering) {
        mark_alive(server);
        m_suspected_to_send.erase(server);
        if (m_answering_to_send.size() < s_max_suspected)
            m_answering_to_send.insert(server);
    }
}

bool LoadSharing::is_from_own_relay(RelayedLoad const& relayed) const
{
    return std::ranges::any_of(relayed.counted(), [this](auto const& report) { return report.gateway() == m_self; });
}

void LoadSharing::apply_suspicions(RelayedLoad const& relayed, Core::MonotonicTime now)
{
    bool const is_from_own_domain = is_from_own_relay(relayed);
    for (auto const server : relayed.suspected()) {
        if (is_from_own_domain || m_failure_detector.note_remote_suspicion(server, relayed.relay(), now))
            mark_suspected(server, now);
    }
    // A server that answers in another failure domain may be unreachable from this one.
    if (!is_from_own_domain)
        return;
    for (auto const server : relayed.answering())
        mark_alive(server);
}

LoadsByServer LoadSharing::own_loads() const
{
    LoadsByServer loads;
    for (auto const& [instance, view] : m_fleet.all()) {
        if (view->own_load().open > 0)
            loads[view->id()] = view->own_load();
    }
    return loads;
}

std::uint64_t LoadSharing::record_own_report(LoadsByServer loads)
{
    m_own_reports.push_back({++m_report_sequence, std::move(loads)});
    if (m_own_reports.size() > s_max_own_reports)
        m_own_reports.pop_front();
    return m_report_sequence;
}

Core::Milliseconds LoadSharing::interval(WatchesStore watches_store) const
{
    if (m_is_busy)
        return s_interval;
    bool const is_needed = m_is_relay || watches_store == WatchesStore::Yes;
    return is_needed ? s_heartbeat : m_election.interval();
}

std::vector<OutgoingDatagram> LoadSharing::tick(Cluster::WallTime own_clock, Core::MonotonicTime now)
{
    if (m_duty_sharing != nullptr)
        m_duty_sharing->duty().tick(own_clock, now);
    m_failure_detector.remove_expired(now);
    if (m_demand_sharing != nullptr)
        m_demand_sharing->remove_expired(now);
    m_relay_loads.remove_silent(now, s_relay_expiry, s_entry_expiry);
    for (auto const gateway : m_aggregator.remove_silent(now))
        m_reporter_loads.remove(gateway);
    std::vector<OutgoingDatagram> outgoing;
    auto const relay = m_election.choose_relay(now);
    m_relay = relay.value_or(std::string());
    bool const is_relay_itself = relay && !m_election.is_member(*relay);
    if (is_relay_itself)
        add_own_report(now);
    else if (relay)
        send_report(*relay, outgoing, own_clock, now);
    m_is_relay = is_relay_itself || !m_aggregator.reports().empty();
    if (m_is_relay)
        send_as_relay(outgoing, now);
    m_is_busy = !m_own_reports.empty() && !m_own_reports.back().loads.empty();
    m_is_busy = m_is_busy || !m_aggregator.sums().empty();
    if (m_streams != nullptr)
        m_streams->tick(now);
    std::ranges::move(take_stream_messages(), std::back_inserter(outgoing));
    return outgoing;
}

std::vector<OutgoingDatagram> LoadSharing::take_stream_messages()
{
    std::vector<OutgoingDatagram> outgoing;
    if (m_streams == nullptr)
        return outgoing;
    for (auto& [address, message] : m_streams->take_messages()) {
        Datagram datagram;
        *datagram.mutable_streams() = std::move(message);
        outgoing.push_back({address, serialize(datagram)});
    }
    return outgoing;
}

void LoadSharing::send_report(std::string const& relay, std::vector<OutgoingDatagram>& outgoing,
    Cluster::WallTime own_clock, Core::MonotonicTime now)
{
    auto loads = own_loads();
    bool const has_changed = m_own_reports.empty() || loads != m_own_reports.back().loads;
    bool const has_placements = !m_placements.empty() || !m_previous_placements.empty();
    bool const has_pending_reports
        = !m_unreachable.empty() || !m_broken.empty() || !m_answering.empty() || has_urgent_reports(now);
    if (!has_changed && !has_placements && !has_pending_reports && Core::elapsed(m_last_report, now) < s_heartbeat)
        return;
    m_last_report = now;
    Datagram datagram;
    auto& report = *datagram.mutable_report();
    report.set_sender(m_self);
    write_store_report(*report.mutable_store(), m_store_report, now);
    if (m_duty_sharing != nullptr)
        m_duty_sharing->fill_report(report, own_clock, now);
    m_crash_sharing.fill(*report.mutable_crashes(), now);
    m_signal_sharing.fill(*report.mutable_signals(), now);
    if (m_demand_sharing != nullptr)
        m_demand_sharing->fill_report(*report.mutable_demand(), now);
    for (auto const& [server, load] : loads) {
        if (report.servers_size() < static_cast<int>(s_max_servers))
            write_load(*report.add_servers(), server, load);
    }
    report.set_sequence(record_own_report(std::move(loads)));
    report.mutable_placements()->Assign(m_placements.begin(), m_placements.end());
    report.mutable_placements_before()->Assign(m_previous_placements.begin(), m_previous_placements.end());
    m_previous_placements = std::exchange(m_placements, {});
    auto const move_to = [](auto& target, std::vector<std::uint64_t>& servers) {
        servers.resize(std::min(servers.size(), s_max_suspected));
        target.Assign(servers.begin(), servers.end());
        servers.clear();
    };
    move_to(*report.mutable_unreachable(), m_unreachable);
    move_to(*report.mutable_broken(), m_broken);
    move_to(*report.mutable_answering(), m_answering);
    outgoing.push_back({relay, serialize(datagram)});
}

void LoadSharing::add_own_report(Core::MonotonicTime now)
{
    auto loads = own_loads();
    auto const sequence = record_own_report(loads);
    m_aggregator.update(m_self, {sequence, now, "", std::move(loads)});
    std::ranges::move(m_placements, std::back_inserter(m_relay_placements));
    m_relay_placements.resize(std::min(m_relay_placements.size(), s_max_placements));
    m_placements.clear();
    collect_suspicions(
        std::exchange(m_unreachable, {}), std::exchange(m_broken, {}), std::exchange(m_answering, {}), now);
}

void LoadSharing::add_refresh(LoadsByServer& loads, Core::MonotonicTime now)
{
    if (Core::elapsed(m_last_refresh, now) >= s_refresh) {
        m_last_refresh = now;
        m_servers_to_refresh.clear();
        for (auto const& [server, sum] : m_aggregator.sums())
            m_servers_to_refresh.push_back(server);
        m_servers_per_tick = m_servers_to_refresh.size() / s_ticks_per_refresh + 1;
    }
    for (std::size_t count = 0; count < m_servers_per_tick && !m_servers_to_refresh.empty(); ++count) {
        auto const sum = m_aggregator.sums().find(m_servers_to_refresh.back());
        m_servers_to_refresh.pop_back();
        if (sum != m_aggregator.sums().end())
            loads.insert(*sum);
    }
}

LoadSharing::RelayedLoad LoadSharing::make_relayed_load(Core::MonotonicTime now)
{
    auto loads = m_aggregator.take_changes();
    for (auto const& item : std::exchange(m_deferred_loads, {}))
        loads.insert(item);
    add_refresh(loads, now);
    RelayedLoad relayed;
    relayed.set_relay(m_self);
    relayed.set_sequence(++m_relay_sequence);
    write_store_report(*relayed.mutable_store(), m_store_report, now);
    if (m_duty_sharing != nullptr)
        m_duty_sharing->fill_relayed(relayed, now);
    m_crash_sharing.fill(*relayed.mutable_crashes(), now);
    m_signal_sharing.fill(*relayed.mutable_signals(), now);
    if (m_demand_sharing != nullptr)
        m_demand_sharing->fill_relayed(*relayed.mutable_demand(), m_self, now);
    for (auto const& [server, load] : loads) {
        if (relayed.servers_size() < static_cast<int>(s_max_servers))
            write_load(*relayed.add_servers(), server, load);
        else
            m_deferred_loads[server] = load;
    }
    auto const placements = std::exchange(m_relay_placements, {});
    relayed.mutable_placements()->Assign(placements.begin(), placements.end());
    relayed.mutable_suspected()->Assign(m_suspected_to_send.begin(), m_suspected_to_send.end());
    relayed.mutable_answering()->Assign(m_answering_to_send.begin(), m_answering_to_send.end());
    m_suspected_to_send.clear();
    m_answering_to_send.clear();
    return relayed;
}

void LoadSharing::send_as_relay(std::vector<OutgoingDatagram>& outgoing, Core::MonotonicTime now)
{
    bool const is_due = Core::elapsed(m_last_relay_datagram, now) >= s_heartbeat;
    bool const has_new_data = m_aggregator.has_changes() || !m_relay_placements.empty() || !m_forwarded.empty()
        || !m_suspected_to_send.empty() || !m_answering_to_send.empty() || has_urgent_reports(now);
    if (!is_due && !has_new_data)
        return;
    m_last_relay_datagram = now;
    auto relayed = make_relayed_load(now);
    Datagram to_relays;
    *to_relays.add_relayed() = relayed;
    auto const bytes = serialize(to_relays);
    for (auto& address : m_election.peer_relays(now))
        outgoing.push_back({std::move(address), bytes});

    if (std::exchange(m_has_new_reporter, false)) {
        if (m_duty_sharing != nullptr)
            m_duty_sharing->fill_all(relayed);
        m_signal_sharing.fill_all(*relayed.mutable_signals(), now);
    }
    if (m_demand_sharing != nullptr)
        m_demand_sharing->add_places(*relayed.mutable_demand(), now);
    Datagram to_reporters;
    for (auto const& [gateway, report] : m_aggregator.reports()) {
        auto& counted = *relayed.add_counted();
        counted.set_gateway(gateway);
        counted.set_sequence(report.sequence);
    }
    *to_reporters.add_relayed() = std::move(relayed);
    for (auto& forwarded : std::exchange(m_forwarded, {}))
        *to_reporters.add_relayed() = std::move(forwarded);
    auto const reporters_bytes = serialize(to_reporters);
    for (auto const& [gateway, report] : m_aggregator.reports()) {
        if (!report.address.empty())
            outgoing.push_back({report.address, reporters_bytes});
    }
}

}
