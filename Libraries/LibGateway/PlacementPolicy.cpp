#include <LibGateway/PlacementPolicy.h>

#include <algorithm>
#include <cmath>

namespace GraniteField::Gateway {

namespace {

/// Share of a prompt's shared parts that its home is assumed to have cached without this gateway having sent them:
/// other gateways prefer the same engine.
constexpr double s_home_cached_share = 0.5;
/// Cost of fetching a token from another engine, relative to prefilling it.
constexpr double s_fetch_cost_share = 0.1;
/// Minimum number of tokens to fetch; prefilling fewer is faster than fetching them.
constexpr double s_min_fetched_tokens = 500;
/// Share of the prefill of a new copy of a prompt's shared parts that counts as lost, since the copy evicts parts that
/// other prompts need and that are then prefilled again. Grows with the engine's rank in the prompt's preference order.
/// All gateways use the same order, so that a prompt whose home is busy has copies on two or three engines instead of
/// all.
constexpr double s_copy_cost_share = 0.15;
/// Rank from which on the copy cost no longer grows.
constexpr std::size_t s_max_counted_rank = 4;
/// Assumed size of a request head in bytes, for the cost of a transfer.
constexpr std::size_t s_assumed_head_bytes = 1'000;
/// Minimum latency in milliseconds; used for a plain server that has not responded yet.
constexpr Policy::FractionalMilliseconds s_min_latency {1};
/// Number of targets for the first token after which callers abandon a silent stream.
constexpr int s_timeout_in_targets = 4;
/// Number of long prefills that a stream meets in its lifetime on an engine that is always prefilling.
constexpr double s_prefills_per_stream = 3;
/// Upper limit for the loss by delayed streams, in streams: if prompts find no other engine, streams on other engines
/// are late as well.
constexpr double s_max_delay_loss = 3;
/// Loss added if the caller will have left before the first token, so that such a placement is never preferred to one
/// in time. Otherwise all long prompts gather on the one engine without streams.
constexpr double s_timeout_loss = 10;
/// Steepness of the loss near the slot limit. The known number of open requests is some tenths of a second old, so an
/// engine counts as full before it is. Otherwise streams gather until the slots are taken and preempt each other.
constexpr double s_slot_steepness = 8;
/// Loss of a stream that misses its pause target.
constexpr double s_late_stream_loss = 1 - Policy::LatenessLoss::s_late_value;

std::uint32_t token_count(std::span<PromptPart const> parts)
{
    std::uint32_t tokens = 0;
    for (auto const& part : parts)
        tokens += part.tokens;
    return tokens;
}

/// Returns the estimated number of cached tokens at the start of the prompt.
double estimated_cached_tokens(Candidate const& candidate, RoutedRequest const& request, double shared_tokens)
{
    double const tracked = candidate.server->prefixes().cached_tokens(request.prompt);
    return candidate.rank == 0 ? std::max(tracked, s_home_cached_share * shared_tokens) : tracked;
}

/// Returns the probability that one more request finds no free slot. It would wait, or preempt a less urgent request
/// whose prompt is then prefilled again.
double slot_loss(ServerLoad const& load, unsigned slots)
{
    if (slots == 0)
        return 0;
    return Policy::probability_of_exceeding(
        Policy::FractionalMilliseconds(load.open + 1), Policy::FractionalMilliseconds(slots), s_slot_steepness);
}

}

void PlacementPolicy::apply(Table::Table const& table)
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
    estimate.loss = profile.lateness.expected_loss(estimate.wait);
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
    estimate.idle_wait = own_prefill + fetch;
    auto const own_loss
        = std::min(1.0, profile.lateness.expected_loss(estimate.wait) + own_pause_loss(server, profile));
    auto const delay_loss
        = std::min(s_max_delay_loss, delayed_streams(server, estimate.unread_tokens, profile) * s_late_stream_loss);
    auto const occupancy_loss = (own_prefill + fetch) / profile.lateness.target * m_settings.reading_weight;
    auto const timeout_loss
        = profile.lateness.elapsed + estimate.wait > profile.lateness.caller_timeout ? s_timeout_loss : 0;
    estimate.loss = own_loss + delay_loss + occupancy_loss + timeout_loss + slot_loss(load, server.record().slots);
    return estimate;
}

double PlacementPolicy::own_pause_loss(BackendView const& server, RequestProfile const& profile)
{
    if (!profile.is_pause_sensitive)
        return 0;
    auto const& model = *profile.model;
    auto const late_by_current = model.late_probability(profile.pause_target, server.load().unread_tokens);
    auto const prefill_arrives = 1 - std::exp(-server.prefill_fraction() * s_prefills_per_stream);
    auto const late_by_arriving = prefill_arrives * model.late_probability(profile.pause_target, model.long_prefill());
    return s_late_stream_loss * (1 - (1 - late_by_current) * (1 - late_by_arriving));
}

double PlacementPolicy::delayed_streams(
    BackendView const& server, std::uint32_t unread_tokens, RequestProfile const& profile)
{
    auto const load = server.load();
    if (load.pause_sensitive == 0)
        return 0;
    // A prefill delays new streams for as long as it lasts, so each prefill in a queue counts like the first. If later
    // prefills counted only what they add, they would cost nothing, and an engine with streams would attract all
    // prefills after its first.
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
        best.idle_wait = std::chrono::duration_cast<Core::Milliseconds>(estimate.idle_wait);
        best.expected_loss = loss;
    }
    return best;
}

}
