#include <LibGateway/PlacementPolicy.h>

#include <algorithm>
#include <cmath>

namespace GraniteField::Gateway {

namespace {

/// How much of a prompt's shared parts its home is believed to keep where this gateway has not sent it there itself:
/// other gateways use the same order.
constexpr double s_home_cached_share = 0.5;
/// Moving a token between engines, as a part of reading it.
constexpr double s_fetch_cost_share = 0.1;
/// Less is read again more quickly than it is asked for elsewhere.
constexpr double s_min_fetched_tokens = 500;
/// A new copy of a prompt's shared parts puts out what other prompts will ask for, which is then read again. So much of
/// its reading counts as lost, the more the further down the engine stands in the prompt's order: that order is the
/// same at all gateways, so that a prompt whose home is busy has copies at two or three engines and not at all.
constexpr double s_copy_cost_share = 0.15;
/// Engines further down count alike.
constexpr std::size_t s_max_counted_rank = 4;
/// Stands for the head of a request where its bytes count.
constexpr std::size_t s_assumed_head_bytes = 1'000;
/// Stands for the latency of a plain server that has not answered yet.
constexpr Policy::FineTime s_min_latency {1};
/// Callers give up a stream that has been silent for so many of its targets.
constexpr int s_timeout_in_targets = 4;
/// Long readings that a stream meets in its life at an engine that is always reading.
constexpr double s_prefills_per_stream = 3;
/// However many streams a reading makes late, it counts for no more than these: streams of other engines are late too
/// where prompts have nowhere to go.
constexpr double s_max_harm = 3;
/// Added where the caller will have left before its first piece, so that such a wait is never chosen while an engine
/// could answer in time. Guards against sending all long prompts to the one engine without streams.
constexpr double s_timeout_loss = 10;
/// What a gateway knows of an engine's open requests is a few tenths of a second old, so that an engine counts as full
/// before it is. Guards against streams that gather until the slots are taken, and put each other back.
constexpr double s_slot_steepness = 8;
/// What a stream loses that is late by a pause.
constexpr double s_late_stream_loss = 1 - Policy::LatenessLoss::s_late_worth;

std::uint32_t token_count(std::span<PromptPart const> parts)
{
    std::uint32_t tokens = 0;
    for (auto const& part : parts)
        tokens += part.tokens;
    return tokens;
}

/// Tokens of the prompt's beginning that the candidate is believed to keep.
double estimated_cached_tokens(Candidate const& candidate, RoutedRequest const& request, double shared_tokens)
{
    double const tracked = candidate.server->prefixes().cached_tokens(request.prompt);
    return candidate.rank == 0 ? std::max(tracked, s_home_cached_share * shared_tokens) : tracked;
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

void PlacementPolicy::apply_table(Table::Table const& table)
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
    return found == m_models.end() ? m_default_model : found->second;
}

PlacementPolicy::RequestProfile PlacementPolicy::profile_of(RoutedRequest const& request, Core::MonotonicTime now) const
{
    RequestProfile profile;
    profile.prompt_tokens = std::max(request.prompt_tokens, token_count(request.prompt));
    auto const target = request.request_class->first_token_target;
    auto const timeout = request.is_stream()
        ? std::min(target * s_timeout_in_targets, Core::elapsed(request.received, request.deadline))
        : Core::elapsed(request.received, request.deadline);
    profile.lateness = {now - request.received, target, timeout};
    profile.model = &model_of(request.service);
    profile.pause_target = request.request_class->token_gap_target;
    profile.is_pause_sensitive = request.is_stream() && profile.model->is_sensitive(profile.pause_target);
    auto const tightest = m_tightest_pause_targets.find(request.service);
    profile.tightest_pause_target
        = tightest == m_tightest_pause_targets.end() ? profile.pause_target : tightest->second;
    return profile;
}

PlacementPolicy::Estimate PlacementPolicy::estimate_plain(BackendView const& server, RequestProfile const& profile)
{
    auto const load = static_cast<double>(server.load().open) / std::max(1U, server.record().slots);
    Estimate estimate;
    estimate.wait = std::max(s_min_latency, server.mean_latency()) * (1 + load);
    estimate.loss = profile.lateness.at(estimate.wait);
    return estimate;
}

PlacementPolicy::Estimate PlacementPolicy::estimate_engine(
    BackendView const& server, double cached_tokens, double cached_elsewhere, RequestProfile const& profile) const
{
    auto const& model = *profile.model;
    auto const load = server.load();
    auto const fetched = cached_elsewhere - cached_tokens < s_min_fetched_tokens ? 0 : cached_elsewhere - cached_tokens;
    Estimate estimate;
    estimate.moved_tokens = static_cast<std::uint32_t>(fetched);
    estimate.unread_tokens
        = profile.prompt_tokens - std::min(profile.prompt_tokens, static_cast<std::uint32_t>(cached_tokens + fetched));
    auto const own_prefill = model.prefill_time(estimate.unread_tokens);
    auto const fetch = model.prefill_time(fetched) * s_fetch_cost_share;
    estimate.wait = model.prefill_time(static_cast<double>(load.unread_tokens)) + own_prefill + fetch
        + Time(m_settings.cost_per_running) * load.open;
    auto const own_loss = std::min(1.0, profile.lateness.at(estimate.wait) + own_pause_loss(server, profile));
    auto const harm
        = std::min(s_max_harm, delayed_streams(server, estimate.unread_tokens, profile) * s_late_stream_loss);
    auto const occupancy_loss = (own_prefill + fetch) / profile.lateness.target * m_settings.reading_weight;
    auto const timeout_loss = profile.lateness.elapsed + estimate.wait > profile.lateness.patience ? s_timeout_loss : 0;
    estimate.loss = own_loss + harm + occupancy_loss + timeout_loss + slot_loss(load, server.record().slots);
    return estimate;
}

double PlacementPolicy::own_pause_loss(BackendView const& server, RequestProfile const& profile)
{
    if (!profile.is_pause_sensitive)
        return 0;
    auto const& model = *profile.model;
    auto const late_by_current = model.late_probability(profile.pause_target, server.load().unread_tokens);
    auto const prefill_arrives = 1 - std::exp(-server.reading_share() * s_prefills_per_stream);
    auto const late_by_arriving = prefill_arrives * model.late_probability(profile.pause_target, model.long_prefill());
    return s_late_stream_loss * (1 - (1 - late_by_current) * (1 - late_by_arriving));
}

double PlacementPolicy::delayed_streams(
    BackendView const& server, std::uint32_t unread_tokens, RequestProfile const& profile)
{
    auto const load = server.load();
    if (load.pause_sensitive == 0)
        return 0;
    // A reading meets new streams all the while it lasts, so that each of a row of readings counts as if it were the
    // first. Counted by what they add, the later ones would cost nothing, and engines with streams draw all readings as
    // soon as they have one.
    auto const& model = *profile.model;
    auto const fraction = std::min(1.0, static_cast<double>(unread_tokens) / static_cast<double>(model.long_prefill()));
    return fraction * load.pause_sensitive
        * model.late_probability(profile.tightest_pause_target, load.unread_tokens + unread_tokens);
}

double PlacementPolicy::domain_loss(BackendView const& server, RoutedRequest const& request) const
{
    if (server.record().failure_domain == m_settings.failure_domain)
        return 0;
    constexpr double bytes_per_megabyte = 1e6;
    return static_cast<double>(request.body.size() + s_assumed_head_bytes) / bytes_per_megabyte
        * m_settings.domain_change_weight;
}

double PlacementPolicy::copy_loss(
    Candidate const& candidate, CacheEstimate const& cache, std::size_t index, RequestProfile const& profile) const
{
    auto const copied_tokens = std::max(0.0, cache.shared_tokens - cache.cached_tokens.at(index));
    auto const occupancy_loss
        = profile.model->prefill_time(copied_tokens) / profile.lateness.target * m_settings.reading_weight;
    auto const rank = std::min(candidate.rank, s_max_counted_rank);
    return occupancy_loss * s_copy_cost_share * static_cast<double>(rank) / static_cast<double>(s_max_counted_rank);
}

PlacementPolicy::CacheEstimate PlacementPolicy::estimate_cache(
    std::vector<Candidate> const& candidates, RoutedRequest const& request)
{
    CacheEstimate cache;
    double const shared_tokens = token_count(shared_parts(request));
    cache.shared_tokens = shared_tokens;
    for (auto const& candidate : candidates) {
        auto const cached_tokens = estimated_cached_tokens(candidate, request, shared_tokens);
        cache.cached_tokens.push_back(cached_tokens);
        if (candidate.is_source && cached_tokens > cache.holder.tokens)
            cache.holder = {candidate.server, cached_tokens};
    }
    return cache;
}

Choice PlacementPolicy::choose(
    std::vector<Candidate> const& candidates, RoutedRequest const& request, Core::MonotonicTime now) const
{
    auto const profile = profile_of(request, now);
    auto const cache = estimate_cache(candidates, request);
    Choice best;
    best.candidates = candidates.size();
    best.is_pause_sensitive = profile.is_pause_sensitive;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto const& candidate = candidates[index].server;
        auto const estimate = request.prompt.empty()
            ? estimate_plain(*candidate, profile)
            : estimate_engine(*candidate, cache.cached_tokens[index], cache.holder.tokens, profile);
        auto const loss = estimate.loss + candidate->failure_rate(now) + domain_loss(*candidate, request)
            + copy_loss(candidates[index], cache, index, profile);
        if (best.server != nullptr && loss >= best.expected_loss)
            continue;
        best.server = candidate;
        best.source = estimate.moved_tokens > 0 ? cache.holder.server : nullptr;
        best.unread_tokens = estimate.unread_tokens;
        best.moved_tokens = estimate.moved_tokens;
        best.predicted_wait = std::chrono::duration_cast<Core::Milliseconds>(estimate.wait);
        best.expected_loss = loss;
    }
    return best;
}

}
