#include <LibGateway/BackendFleet.h>

#include <LibCore/Hashing.h>

#include <algorithm>
#include <array>

namespace GraniteField::Gateway {

namespace {

/// How much of a prompt's shared parts the engines that come first in its own order keep, where this gateway has not
/// sent it there itself: other gateways use the same order.
constexpr std::array s_assumed_kept {0.5, 0.0};
/// A shorter reading says too little of an engine's rate.
constexpr std::uint32_t s_least_measured_tokens = 2'000;
constexpr double s_newest_rate_weight = 0.1;
constexpr double s_slowest_prefill_rate = 1;
/// Stands for the latency of a plain server that has not answered yet.
constexpr std::chrono::duration<double, std::milli> s_least_latency {1};

std::uint32_t tokens_of(std::span<PromptPart const> parts)
{
    std::uint32_t tokens = 0;
    for (auto const& part : parts)
        tokens += part.tokens;
    return tokens;
}

}

BackendFleet::BackendFleet(Settings settings, Observe::EventLog& log)
    : m_settings(std::move(settings))
    , m_log(log)
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
                    .add("revision", revision.value()));
}

void BackendFleet::follow(Entry::ServerList const& list)
{
    std::set<std::string> listed;
    for (auto const& record : list.servers) {
        listed.insert(record.instance);
        auto& view = m_servers[record.instance];
        if (view == nullptr) {
            view = std::make_shared<BackendView>(record);
            view->prefixes().set_capacity(m_memory_tokens[record.service]);
            m_servers_by_id[view->id()] = view;
            log_change(record, "added", list.revision);
            continue;
        }
        if (!view->is_listed())
            log_change(record, "back", list.revision);
        else if (view->record().state != record.state)
            log_change(
                record, record.state == Table::BackendServerState::Leaving ? "leaving" : "serving", list.revision);
        view->set_listed(true);
        view->set_record(record);
    }
    for (auto& [instance, view] : m_servers) {
        if (listed.contains(instance) || !view->is_listed())
            continue;
        view->set_listed(false);
        log_change(view->record(), "gone", list.revision);
    }
    // Attempts hold their views; one without any may go.
    std::erase_if(
        m_servers, [](auto const& item) { return !item.second->is_listed() && item.second.use_count() == 1; });
    absl::erase_if(m_servers_by_id, [](auto const& item) { return item.second.expired(); });
}

std::shared_ptr<BackendView> BackendFleet::find(std::uint64_t id) const
{
    auto const found = m_servers_by_id.find(id);
    return found == m_servers_by_id.end() ? nullptr : found->second.lock();
}

void BackendFleet::follow(Table::Table const& table)
{
    for (auto const& [name, service] : table.services())
        m_memory_tokens[name] = service.memory_tokens;
    for (auto& [instance, view] : m_servers)
        view->prefixes().set_capacity(m_memory_tokens[view->record().service]);
}

double BackendFleet::prefill_rate(std::string const& service) const
{
    auto const found = m_prefill_rates.find(service);
    return found == m_prefill_rates.end() ? m_settings.first_prefill_rate : found->second;
}

void BackendFleet::note_first_event(std::string const& service, std::uint32_t unread_tokens, Core::Milliseconds wait)
{
    if (unread_tokens < s_least_measured_tokens || wait.count() <= 0)
        return;
    auto const measured = static_cast<double>(unread_tokens) / static_cast<double>(wait.count());
    auto const known = prefill_rate(service);
    // Most waits hold more than the reading itself, so a faster reading says more than a slower one.
    auto const weight = measured > known ? s_newest_rate_weight : s_newest_rate_weight / 10;
    m_prefill_rates[service] = std::max(s_slowest_prefill_rate, known + (measured - known) * weight);
}

std::vector<BackendFleet::Candidate> BackendFleet::candidates_for(
    GatewayCall const& call, std::set<std::string> const& excluded, Core::MonotonicTime now) const
{
    std::vector<Candidate> candidates;
    for (auto const& [instance, view] : m_servers) {
        if (view->record().service == call.service && view->takes_new_requests())
            candidates.push_back({view, 0});
    }
    rank_by_prompt(candidates, call);
    std::erase_if(candidates, [&](auto const& item) { return excluded.contains(item.server->record().instance); });
    bool const is_one_sound
        = std::ranges::any_of(candidates, [now](auto const& item) { return !item.server->is_avoided(now); });
    if (is_one_sound)
        std::erase_if(candidates, [now](auto const& item) { return item.server->is_avoided(now); });
    return candidates;
}

void BackendFleet::rank_by_prompt(std::vector<Candidate>& candidates, GatewayCall const& call) const
{
    auto const parts = shared_parts(call);
    if (parts.empty())
        return;
    // Rendezvous hashing: each engine that comes or goes moves only its own share of the prompts.
    auto const key = parts.back().chain;
    std::ranges::sort(candidates, std::ranges::greater(),
        [key](auto const& item) { return Core::hash_bytes(item.server->record().instance, key); });
    for (std::size_t rank = 0; rank < candidates.size(); ++rank)
        candidates[rank].rank = rank;
}

BackendFleet::Estimate BackendFleet::estimate_plain(BackendView const& server) const
{
    auto const load = static_cast<double>(server.load().open) / std::max(1U, server.record().slots);
    Estimate estimate;
    estimate.wait = std::max(s_least_latency, server.mean_latency()) * (1 + load);
    return estimate;
}

BackendFleet::EngineTask BackendFleet::task_of(GatewayCall const& call) const
{
    EngineTask task;
    task.prompt_tokens = std::max(call.prompt_tokens, tokens_of(call.prompt));
    task.shared_tokens = tokens_of(shared_parts(call));
    task.prefill_rate = prefill_rate(call.service);
    task.is_pause_sensitive = is_pause_sensitive(call);
    return task;
}

BackendFleet::Estimate BackendFleet::estimate_engine(
    Candidate const& candidate, GatewayCall const& call, EngineTask const& task) const
{
    auto const& server = *candidate.server;
    auto const load = server.load();
    auto const total = task.prompt_tokens;
    auto const shared = task.shared_tokens;
    double expected_kept = server.prefixes().kept_tokens(call.prompt);
    if (candidate.rank < s_assumed_kept.size())
        expected_kept = std::max(expected_kept, s_assumed_kept.at(candidate.rank) * shared);
    auto const reading_time = [rate = task.prefill_rate](double tokens) { return Estimate::Time(tokens / rate); };
    Estimate estimate;
    estimate.unread_tokens = total - std::min(total, static_cast<std::uint32_t>(expected_kept));
    estimate.wait = reading_time(static_cast<double>(load.unread_tokens + estimate.unread_tokens))
        + Estimate::Time(m_settings.cost_per_running) * load.open;
    estimate.penalty = reading_time(std::max(0.0, shared - expected_kept)) * m_settings.reread_weight
        + pause_penalty(load, estimate.unread_tokens, task);
    return estimate;
}

void BackendFleet::note_pause(std::string const& service, BackendView const& server, PauseModel::Time pause)
{
    m_pause_models[service].note_pause(pause, server.load().unread_tokens);
}

bool BackendFleet::is_pause_sensitive(GatewayCall const& call) const
{
    auto const found = m_pause_models.find(call.service);
    return call.is_stream() && found != m_pause_models.end()
        && found->second.is_sensitive(call.request_class->token_gap_target);
}

BackendFleet::Estimate::Time BackendFleet::pause_penalty(
    ServerLoad const& load, std::uint32_t unread_tokens, EngineTask const& task) const
{
    // A reading makes streams late the surer the longer it takes.
    auto const harm = [](std::uint64_t tokens) {
        return std::min(1.0, static_cast<double>(tokens) / static_cast<double>(PauseModel::s_long_reading_tokens));
    };
    auto const late_streams
        = harm(unread_tokens) * load.pause_sensitive + (task.is_pause_sensitive ? harm(load.unread_tokens) : 0.0);
    auto penalty = Estimate::Time(m_settings.cost_per_late_stream) * late_streams;
    if (task.is_pause_sensitive && load.pause_sensitive == 0)
        penalty += m_settings.cost_per_first_sensitive_stream;
    return penalty;
}

BackendFleet::Estimate BackendFleet::estimate(
    Candidate const& candidate, GatewayCall const& call, EngineTask const& task, Core::MonotonicTime now) const
{
    auto const& server = *candidate.server;
    auto estimate = call.prompt.empty() ? estimate_plain(server) : estimate_engine(candidate, call, task);
    estimate.penalty += Estimate::Time(call.request_class->first_token_target) * server.failure_rate(now);
    if (server.record().failure_domain != m_settings.failure_domain)
        estimate.penalty += m_settings.cost_per_domain_change;
    return estimate;
}

Choice BackendFleet::choose(
    GatewayCall const& call, std::set<std::string> const& excluded, Core::MonotonicTime now) const
{
    auto const candidates = candidates_for(call, excluded, now);
    auto const task = task_of(call);
    Choice best;
    best.candidates = candidates.size();
    best.is_pause_sensitive = task.is_pause_sensitive;
    auto least_cost = Estimate::Time::max();
    for (auto const& candidate : candidates) {
        auto const estimated = estimate(candidate, call, task, now);
        auto const cost = estimated.wait + estimated.penalty;
        if (cost >= least_cost)
            continue;
        least_cost = cost;
        best.server = candidate.server;
        best.unread_tokens = estimated.unread_tokens;
        best.predicted_wait = std::chrono::duration_cast<Core::Milliseconds>(estimated.wait);
    }
    return best;
}

}
