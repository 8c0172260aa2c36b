#include <LibGateway/PlacementPolicy.h>

#include <algorithm>
#include <cmath>

namespace GraniteField::Gateway {

namespace {

/// How much of a prompt's shared parts its home is believed to keep where this gateway has not sent it there itself:
/// other gateways use the same order.
constexpr double s_assumed_at_home = 0.5;
/// Moving a token between engines, as a part of reading it.
constexpr double s_move_share = 0.1;
/// Less is read again more quickly than it is asked for elsewhere.
constexpr double s_least_moved_tokens = 500;
/// A new copy of a prompt's shared parts puts out what other prompts will ask for, which is then read again. So much of
/// its reading counts as lost, the more the further down the engine stands in the prompt's order: that order is the
/// same at all gateways, so that a prompt whose home is busy has copies at two or three engines and not at all.
constexpr double s_copy_share = 0.15;
/// Engines further down count alike.
constexpr std::size_t s_last_counted_rank = 4;
/// Stands for the head of a request where its bytes count.
constexpr std::size_t s_head_bytes = 1'000;
/// Stands for the latency of a plain server that has not answered yet.
constexpr Policy::FineTime s_least_latency {1};
/// Callers give up a stream that has been silent for so many of its targets.
constexpr int s_patience_in_targets = 4;
/// Long readings that a stream meets in its life at an engine that is always reading.
constexpr double s_readings_per_stream = 3;
/// However many streams a reading makes late, it counts for no more than these: streams of other engines are late too
/// where prompts have nowhere to go.
constexpr double s_most_harm = 3;
/// Added where the caller will have left before its first piece, so that such a wait is never chosen while an engine
/// could answer in time. Guards against sending all long prompts to the one engine without streams.
constexpr double s_hopeless_wait = 10;
/// What a gateway knows of an engine's open requests is a few tenths of a second old, so that an engine counts as full
/// before it is. Guards against streams that gather until the slots are taken, and put each other back.
constexpr double s_slot_steepness = 8;
/// What a stream loses that is late by a pause.
constexpr double s_late_stream_loss = 1 - Policy::LatenessLoss::s_late_worth;

std::uint32_t tokens_of(std::span<PromptPart const> parts)
{
    std::uint32_t tokens = 0;
    for (auto const& part : parts)
        tokens += part.tokens;
    return tokens;
}

/// Tokens of the prompt's beginning that the candidate is believed to keep.
double believed_kept(Candidate const& candidate, RoutedRequest const& request, double shared_tokens)
{
    double const known = candidate.server->prefixes().cached_tokens(request.prompt);
    return candidate.rank == 0 ? std::max(known, s_assumed_at_home * shared_tokens) : known;
}

/// Probability that one more request finds no slot at the engine: it waits for one, or puts back a less urgent request,
/// whose prompt is then read again.
double slot_loss(ServerLoad const& load, unsigned slots)
{
    if (slots == 0)
        return 0;
    return Policy::probability_of_exceeding(Policy::FineTime(load.open + 1), Policy::FineTime(slots), s_slot_steepness);
}

}

void PlacementPolicy::follow(Table::Table const& table)
{
    m_tightest_pause_targets.clear();
    for (auto const& [name, route] : table.routes()) {
        auto const* request_class = table.find_class(route.request_class);
        if (request_class == nullptr || route.answer != Table::AnswerKind::EventStream)
            continue;
        for (auto const& target : route.targets) {
            Time const pause = request_class->token_gap_target;
            auto& tightest = m_tightest_pause_targets.try_emplace(target.service, pause).first->second;
            tightest = std::min(tightest, pause);
        }
    }
}

EngineModel& PlacementPolicy::engine_model(std::string const& service)
{
    return m_models.try_emplace(service, m_settings.engine_prior).first->second;
}

EngineModel const& PlacementPolicy::model_of(std::string const& service) const
{
    auto const found = m_models.find(service);
    return found == m_models.end() ? m_unknown : found->second;
}

PlacementPolicy::Task PlacementPolicy::task_of(RoutedRequest const& request, Core::MonotonicTime now) const
{
    Task task;
    task.prompt_tokens = std::max(request.prompt_tokens, tokens_of(request.prompt));
    auto const target = request.request_class->first_token_target;
    auto const patience = request.is_stream()
        ? std::min(target * s_patience_in_targets, Core::elapsed(request.received, request.deadline))
        : Core::elapsed(request.received, request.deadline);
    task.lateness = {now - request.received, target, patience};
    task.model = &model_of(request.service);
    task.pause_target = request.request_class->token_gap_target;
    task.is_pause_sensitive = request.is_stream() && task.model->is_sensitive(task.pause_target);
    auto const tightest = m_tightest_pause_targets.find(request.service);
    task.tightest_pause_target = tightest == m_tightest_pause_targets.end() ? task.pause_target : tightest->second;
    return task;
}

PlacementPolicy::Estimate PlacementPolicy::estimate_plain(BackendView const& server, Task const& task)
{
    auto const load = static_cast<double>(server.load().open) / std::max(1U, server.record().slots);
    Estimate estimate;
    estimate.wait = std::max(s_least_latency, server.mean_latency()) * (1 + load);
    estimate.loss = task.lateness.at(estimate.wait);
    return estimate;
}

PlacementPolicy::Estimate PlacementPolicy::estimate_engine(
    BackendView const& server, double kept, double kept_elsewhere, Task const& task) const
{
    auto const& model = *task.model;
    auto const load = server.load();
    auto const moved = kept_elsewhere - kept < s_least_moved_tokens ? 0 : kept_elsewhere - kept;
    Estimate estimate;
    estimate.moved_tokens = static_cast<std::uint32_t>(moved);
    estimate.unread_tokens
        = task.prompt_tokens - std::min(task.prompt_tokens, static_cast<std::uint32_t>(kept + moved));
    auto const own_reading = model.reading_time(estimate.unread_tokens);
    auto const move = model.reading_time(moved) * s_move_share;
    estimate.wait = model.reading_time(static_cast<double>(load.unread_tokens)) + own_reading + move
        + Time(m_settings.cost_per_running) * load.open;
    auto const own_loss = std::min(1.0, task.lateness.at(estimate.wait) + own_pause_loss(server, task));
    auto const harm = std::min(s_most_harm, harmed_streams(server, estimate.unread_tokens, task) * s_late_stream_loss);
    auto const occupied = (own_reading + move) / task.lateness.target * m_settings.reading_weight;
    auto const hopeless = task.lateness.elapsed + estimate.wait > task.lateness.patience ? s_hopeless_wait : 0;
    estimate.loss = own_loss + harm + occupied + hopeless + slot_loss(load, server.record().slots);
    return estimate;
}

double PlacementPolicy::own_pause_loss(BackendView const& server, Task const& task)
{
    if (!task.is_pause_sensitive)
        return 0;
    auto const& model = *task.model;
    auto const by_present = model.late_probability(task.pause_target, server.load().unread_tokens);
    auto const one_comes = 1 - std::exp(-server.reading_share() * s_readings_per_stream);
    auto const by_coming = one_comes * model.late_probability(task.pause_target, model.long_reading());
    return s_late_stream_loss * (1 - (1 - by_present) * (1 - by_coming));
}

double PlacementPolicy::harmed_streams(BackendView const& server, std::uint32_t unread_tokens, Task const& task)
{
    auto const load = server.load();
    if (load.pause_sensitive == 0)
        return 0;
    // A reading meets new streams all the while it lasts, so that each of a row of readings counts as if it were the
    // first. Counted by what they add, the later ones would cost nothing, and engines with streams draw all readings as
    // soon as they have one.
    auto const& model = *task.model;
    auto const part = std::min(1.0, static_cast<double>(unread_tokens) / static_cast<double>(model.long_reading()));
    return part * load.pause_sensitive
        * model.late_probability(task.tightest_pause_target, load.unread_tokens + unread_tokens);
}

double PlacementPolicy::domain_loss(BackendView const& server, RoutedRequest const& request) const
{
    if (server.record().failure_domain == m_settings.failure_domain)
        return 0;
    constexpr double bytes_of_a_megabyte = 1e6;
    return static_cast<double>(request.body.size() + s_head_bytes) / bytes_of_a_megabyte
        * m_settings.domain_change_weight;
}

double PlacementPolicy::copy_loss(
    Candidate const& candidate, Beliefs const& beliefs, std::size_t index, Task const& task) const
{
    auto const copied = std::max(0.0, beliefs.shared_tokens - beliefs.kept.at(index));
    auto const occupied = task.model->reading_time(copied) / task.lateness.target * m_settings.reading_weight;
    auto const rank = std::min(candidate.rank, s_last_counted_rank);
    return occupied * s_copy_share * static_cast<double>(rank) / static_cast<double>(s_last_counted_rank);
}

PlacementPolicy::Beliefs PlacementPolicy::believe(
    std::vector<Candidate> const& candidates, RoutedRequest const& request)
{
    Beliefs beliefs;
    double const shared_tokens = tokens_of(shared_parts(request));
    beliefs.shared_tokens = shared_tokens;
    for (auto const& candidate : candidates) {
        auto const kept = believed_kept(candidate, request, shared_tokens);
        beliefs.kept.push_back(kept);
        if (candidate.is_source && kept > beliefs.keeper.tokens)
            beliefs.keeper = {candidate.server, kept};
    }
    return beliefs;
}

Choice PlacementPolicy::choose(
    std::vector<Candidate> const& candidates, RoutedRequest const& request, Core::MonotonicTime now) const
{
    auto const task = task_of(request, now);
    auto const beliefs = believe(candidates, request);
    Choice best;
    best.candidates = candidates.size();
    best.is_pause_sensitive = task.is_pause_sensitive;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto const& candidate = candidates[index].server;
        auto const estimate = request.prompt.empty()
            ? estimate_plain(*candidate, task)
            : estimate_engine(*candidate, beliefs.kept[index], beliefs.keeper.tokens, task);
        auto const loss = estimate.loss + candidate->failure_rate(now) + domain_loss(*candidate, request)
            + copy_loss(candidates[index], beliefs, index, task);
        if (best.server != nullptr && loss >= best.expected_loss)
            continue;
        best.server = candidate;
        best.source = estimate.moved_tokens > 0 ? beliefs.keeper.server : nullptr;
        best.unread_tokens = estimate.unread_tokens;
        best.moved_tokens = estimate.moved_tokens;
        best.predicted_wait = std::chrono::duration_cast<Core::Milliseconds>(estimate.wait);
        best.expected_loss = loss;
    }
    return best;
}

}
