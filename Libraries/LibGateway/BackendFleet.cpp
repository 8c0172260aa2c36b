#include <LibGateway/BackendFleet.h>

#include <LibCore/Hashing.h>

#include <algorithm>
#include <utility>

#include <absl/strings/str_join.h>

namespace GraniteField::Gateway {

BackendFleet::BackendFleet(Settings settings, Observe::EventLog& log)
    : m_policy(settings)
    , m_seed(settings.seed)
    , m_log(log)
    , m_regions(settings.regions)
{
}

void BackendFleet::log_change(
    Entry::ServerEntry const& server, std::string_view change, Entry::ListRevision revision) const
{
    m_log.write(Observe::LogEvent("backend-server")
                    .add("change", change)
                    .add("instance", server.instance)
                    .add("service", server.service)
                    .add("address", server.address.to_string())
                    .add("domain", server.failure_domain)
                    .add("version", server.software_version)
                    .add("revision", revision.value()));
}

double BackendFleet::spread_of(std::string const& instance) const
{
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(Core::hash_bytes(instance, m_seed) % steps) / steps;
}

void BackendFleet::apply(Entry::ServerList const& list, Core::MonotonicTime now)
{
    bool const is_first = !std::exchange(m_has_list, true);
    std::set<std::string> listed;
    for (auto const& record : list.servers) {
        listed.insert(record.instance);
        if (!record.software_version.empty())
            m_versioned_services.insert(record.service);
        auto& view = m_servers[record.instance];
        // Load, kept prefixes, failures and suspicions of an earlier run do not apply to this one. Attempts that were
        // sent to the earlier run keep its view.
        bool const is_new_run = view != nullptr
            && (view->record().is_of_earlier_life_than(record)
                || view->record().software_version != record.software_version);
        if (view != nullptr && record.is_of_earlier_life_than(view->record()))
            continue;
        if (is_new_run)
            view->set_unlisted(now);
        if (view == nullptr || is_new_run) {
            view = std::make_shared<BackendView>(record, spread_of(record.instance), now);
            view->prefixes().set_capacity(m_services[record.service].memory_tokens);
            view->set_drained(m_drains.failure_domains.contains(record.failure_domain));
            if (m_leaving_facts.find(view->id()) != nullptr)
                view->set_states_leaving();
            m_servers_by_id[view->id()] = view;
            // Servers of the first list may have been running for long; only their entries say whether they are cold.
            if (!is_first) {
                expect_cold(*view, now);
                log_change(record, is_new_run ? "reborn" : "added", list.revision);
            }
            continue;
        }
        if (!view->is_listed()) {
            expect_cold(*view, now);
            log_change(record, "back", list.revision);
        } else if (view->record().state != record.state)
            log_change(
                record, record.state == Table::BackendServerState::Leaving ? "leaving" : "serving", list.revision);
        else if (!view->is_cold(now) && record.cold_until > now)
            log_change(record, "cold", list.revision);
        view->set_listed();
        if (view->record() != record)
            view->set_record(record);
    }
    m_listed_count = listed.size();
    m_list_revision = list.revision;
    // A line for each server of a large fleet would displace other lines of the start.
    if (is_first)
        m_log.write(
            Observe::LogEvent("server-list").add("servers", m_listed_count).add("revision", list.revision.value()));
    for (auto& [instance, view] : m_servers) {
        if (listed.contains(instance) || !view->is_listed())
            continue;
        view->set_unlisted(now);
        log_change(view->record(), "gone", list.revision);
    }
    std::erase_if(m_servers, [now](auto const& item) { return is_removable(item.second, now); });
    absl::erase_if(m_servers_by_id, [](auto const& item) { return item.second.expired(); });
    auto const is_listed = [this](std::uint64_t id) { return m_servers_by_id.contains(id); };
    m_rate_limits.forget_old(is_listed, now);
    m_leaving_facts.forget_old(is_listed, now);
}

bool BackendFleet::is_removable(std::shared_ptr<BackendView> const& view, Core::MonotonicTime now)
{
    bool const has_attempts = view.use_count() > 1;
    if (view->is_listed() || has_attempts)
        return false;
    // The store may list the server again after an outage, and its backoff still applies then.
    bool const is_remembered = Core::elapsed(view->unlisted_since(), now) <= Policy::RateLimitFacts::s_retention;
    return !is_remembered || !view->backoff().is_in_force(now);
}

std::shared_ptr<BackendView> BackendFleet::find(std::uint64_t id) const
{
    auto const found = m_servers_by_id.find(id);
    return found == m_servers_by_id.end() ? nullptr : found->second.lock();
}

void BackendFleet::apply(Table::Table const& table)
{
    for (auto const& [name, service] : table.services())
        m_services[name] = service;
    for (auto& [instance, view] : m_servers)
        view->prefixes().set_capacity(m_services[view->record().service].memory_tokens);
    m_regions.apply(table);
    m_policy.apply(table);
}

void BackendFleet::apply(Entry::DrainList const& drains, Core::MonotonicTime now)
{
    for (auto& [instance, view] : m_servers) {
        bool const is_drained = drains.failure_domains.contains(view->record().failure_domain);
        // Servers may restart while drained, and the list may report that later.
        if (view->is_drained() && !is_drained)
            expect_cold(*view, now);
        view->set_drained(is_drained);
    }
    m_log.write(Observe::LogEvent("drained-domains")
                    .add("domains", absl::StrJoin(drains.failure_domains, ","))
                    .add("before", absl::StrJoin(m_drains.failure_domains, ","))
                    .add("version", drains.version.value()));
    m_drains = drains;
}

void BackendFleet::apply(Entry::LoadMembers const* members)
{
    if (members == nullptr) {
        m_cold_shares.forget_gateways();
        m_limit_shares.forget_gateways();
        return;
    }
    std::vector<std::uint64_t> others;
    for (auto const& other : members->peers)
        others.push_back(other.order);
    m_cold_shares.set_gateways(members->self.order, others);
    m_limit_shares.set_gateways(members->self.order, std::move(others));
}

void BackendFleet::expect_cold(BackendView& view, Core::MonotonicTime now) const
{
    auto const service = m_services.find(view.record().service);
    if (service != m_services.end())
        view.expect_cold_until(now + service->second.cold_time);
}

bool BackendFleet::has_cold_share(BackendView const& view, Core::MonotonicTime now) const
{
    auto const service = m_services.find(view.record().service);
    if (service == m_services.end() || service->second.cold_rate == 0)
        return true;
    constexpr double seconds_per_minute = 60;
    return m_cold_shares.may_send(view.id(), service->second.cold_rate / seconds_per_minute, now);
}

void BackendFleet::note_sent(BackendView& view, Core::MonotonicTime now)
{
    view.backoff().note_sent(now);
    if (view.is_cold(now))
        m_cold_shares.note_sent(view.id(), now);
    if (auto const limit = limit_of(view.id()))
        m_limit_shares.note_sent(view.id(), *limit, now);
}

bool BackendFleet::has_version_for(BackendView const& view, RoutedRequest const& call) const
{
    if (!call.stream_version)
        return true;
    // Servers that state no version may differ where others state theirs.
    bool const is_unknown = call.stream_version->empty() && has_versions(call.service);
    return !is_unknown && view.record().software_version == *call.stream_version;
}

Unavailability BackendFleet::unavailability(RoutedRequest const& call) const
{
    bool is_served = false;
    bool is_allowed = false;
    for (auto const& [instance, view] : m_servers) {
        bool const serves
            = view->record().service == call.service && view->is_serving() && has_version_for(*view, call);
        if (!serves)
            continue;
        is_served = true;
        if (!m_regions.allows(call, view->record().failure_domain))
            continue;
        is_allowed = true;
        if (!view->is_drained())
            return Unavailability::Servers;
    }
    if (is_allowed)
        return Unavailability::Drains;
    return is_served ? Unavailability::Regions : Unavailability::Servers;
}

void BackendFleet::add_servers_at(std::span<std::uint64_t const> places, std::set<std::string>& instances) const
{
    if (places.empty())
        return;
    for (auto const& [instance, view] : m_servers) {
        if (std::ranges::find(places, view->life().address) != places.end())
            instances.insert(instance);
    }
}

bool BackendFleet::has_newer_server_at(std::uint64_t place, Core::MonotonicTime listed_since) const
{
    return std::ranges::any_of(m_servers, [&](auto const& item) {
        return item.second->listed_since() > listed_since && item.second->life().address == place;
    });
}

void BackendFleet::add_silent_servers(std::set<std::string>& instances) const
{
    for (auto const& [instance, view] : m_servers) {
        if (view->is_silent())
            instances.insert(instance);
    }
}

void BackendFleet::note_first_event(std::string const& service, std::uint32_t unread_tokens, Core::Milliseconds wait)
{
    m_policy.engine_model(service).note_first_event(unread_tokens, wait);
}

void BackendFleet::note_pause(std::string const& service, BackendView const& server, EngineModel::Time pause)
{
    m_policy.engine_model(service).note_pause(pause, server.load().unread_tokens);
}

void BackendFleet::sample_prefill_load(Core::MonotonicTime now)
{
    if (Core::elapsed(m_last_sample, now) < s_sampling_interval)
        return;
    m_last_sample = now;
    for (auto const& [instance, view] : m_servers) {
        auto const long_reading = m_policy.engine_model(view->record().service).long_prefill();
        view->note_prefill_load(
            static_cast<double>(view->load().unread_tokens) / static_cast<double>(long_reading), now);
    }
}

std::vector<std::shared_ptr<BackendView>> BackendFleet::servers_for(RoutedRequest const& call) const
{
    std::vector<std::shared_ptr<BackendView>> servers;
    bool const is_restricted = m_regions.restricts(call);
    for (auto const& [instance, view] : m_servers) {
        if (view->record().service != call.service || !view->accepts_new_requests() || !has_version_for(*view, call))
            continue;
        if (!is_restricted || m_regions.allows(call, view->record().failure_domain))
            servers.push_back(view);
    }
    return servers;
}

std::vector<Candidate> BackendFleet::candidates_for(
    RoutedRequest const& call, std::set<std::string> const& excluded, Core::MonotonicTime now) const
{
    std::vector<Candidate> candidates;
    for (auto& server : servers_for(call)) {
        // A fetch is work that the rate limit does not count.
        bool const is_source = !limit_of(server->id());
        candidates.push_back({std::move(server), 0, is_source});
    }
    rank_by_prompt(candidates, call);
    std::erase_if(candidates, [&](auto const& item) {
        auto const& server = *item.server;
        return excluded.contains(server.record().instance) || (server.is_cold(now) && !has_cold_share(server, now))
            || next_send(server, now) > now;
    });
    bool const has_unavoided
        = std::ranges::any_of(candidates, [now](auto const& item) { return !item.server->is_avoided(now); });
    if (has_unavoided)
        std::erase_if(candidates, [now](auto const& item) { return item.server->is_avoided(now); });
    return candidates;
}

void BackendFleet::rank_by_prompt(std::vector<Candidate>& candidates, RoutedRequest const& call) const
{
    auto const parts = shared_parts(call);
    if (parts.empty())
        return;
    // Rendezvous hashing: adding or removing an engine moves only its own share of the prompts.
    auto const key = parts.back().prefix_hash;
    std::ranges::sort(candidates, std::ranges::greater(),
        [key](auto const& item) { return Core::hash_bytes(item.server->record().instance, key); });
    for (std::size_t rank = 0; rank < candidates.size(); ++rank)
        candidates[rank].rank = rank;
}

Choice BackendFleet::choose(
    RoutedRequest const& call, std::set<std::string> const& excluded, Core::MonotonicTime now) const
{
    auto const candidates = candidates_for(call, excluded, now);
    if (excluded.empty() && !m_rate_limits.is_empty()) {
        if (auto const choice = choose_for_recheck(candidates, call, now))
            return *choice;
    }
    return m_policy.choose(candidates, call, now);
}

}
