// Handling of the statements of backend servers about themselves.
#include <LibGateway/BackendFleet.h>

#include <algorithm>

namespace GraniteField::Gateway {

std::optional<Policy::SharedRateLimit> BackendFleet::limit_of(std::uint64_t server) const
{
    // Called for every candidate of every request, while usually no server states a limit.
    if (m_rate_limits.is_empty())
        return std::nullopt;
    auto const* fact = m_rate_limits.find(server);
    return fact == nullptr ? std::nullopt : fact->limit();
}

std::optional<double> BackendFleet::rate_limit_of(std::uint64_t server) const
{
    auto const limit = limit_of(server);
    return limit ? std::optional(limit->rate) : std::nullopt;
}

Core::MonotonicTime BackendFleet::next_send(BackendView const& view, Core::MonotonicTime now) const
{
    auto const after_backoff = view.backoff().next_send(now);
    auto const limit = limit_of(view.id());
    return limit ? std::max(after_backoff, m_limit_shares.next_send(view.id(), *limit, now)) : after_backoff;
}

std::optional<EarliestSend> BackendFleet::earliest_send(RoutedRequest const& call, Core::MonotonicTime now) const
{
    std::optional<EarliestSend> next;
    for (auto const& view : servers_for(call)) {
        auto const send = earliest_send_to(*view, now);
        // The signals allow a send now, so another cause, of unknown duration, keeps the request from this server.
        if (send.here <= now)
            return std::nullopt;
        auto const first = next.value_or(send);
        next = {std::min(first.here, send.here), std::min(first.anywhere, send.anywhere)};
    }
    return next;
}

EarliestSend BackendFleet::earliest_send_to(BackendView const& view, Core::MonotonicTime now) const
{
    auto const here = next_send(view, now);
    auto const limit = limit_of(view.id());
    if (!limit)
        return {here, here};
    auto const interval = Policy::LimitShares::mean_interval(limit->rate);
    auto const anywhere
        = view.backoff().next_send(now) + std::chrono::duration_cast<Core::MonotonicTime::duration>(interval);
    return {here, std::min(here, anywhere)};
}

bool BackendFleet::is_recheck_due(BackendView const& view, Core::MonotonicTime now) const
{
    auto const* fact = m_rate_limits.find(view.id());
    return fact != nullptr && fact->is_limited() && view.own_load().open == 0
        && Core::elapsed(fact->observed(), now) >= s_recheck_interval;
}

std::optional<Choice> BackendFleet::choose_for_recheck(
    std::vector<Candidate> const& candidates, RoutedRequest const& call, Core::MonotonicTime now) const
{
    auto const due = std::ranges::find_if(
        candidates, [&](auto const& candidate) { return is_recheck_due(*candidate.server, now); });
    if (due == candidates.end())
        return std::nullopt;
    auto choice = m_policy.choose({*due}, call, now);
    if (choice.predicted_wait > call.request_class->first_token_target / 2)
        return std::nullopt;
    choice.candidates = candidates.size();
    return choice;
}

bool BackendFleet::disproves_limit(
    BackendView const& view, ServerSignals const& signals, Core::MonotonicTime received) const
{
    auto const* known = m_rate_limits.is_empty() ? nullptr : m_rate_limits.find(view.id());
    // Rejections may be sent by a layer of the server that does not know the limit.
    if (known == nullptr || !known->last_limited || signals.is_rejection)
        return false;
    return known->is_limited() || Core::elapsed(*known->last_limited, received) <= s_confirmation_time;
}

void BackendFleet::note_signals(
    BackendView& view, ServerSignals const& signals, Core::MonotonicTime sent, Core::MonotonicTime received)
{
    using Policy::FactChange;
    using Policy::RateLimitFact;
    if (signals.retry_after)
        view.backoff().note_rejected(*signals.retry_after, received);
    else
        view.backoff().note_accepted(sent);
    if (signals.is_leaving && m_leaving_facts.note(view.id(), {received}, received) == FactChange::Changed)
        mark_leaving(view.id(), "answer");
    if (!signals.rate_limit && !disproves_limit(view, signals, received))
        return;
    auto const before = rate_limit_of(view.id());
    auto const fact
        = signals.rate_limit ? RateLimitFact::limited(*signals.rate_limit, received) : RateLimitFact::unlimited(sent);
    if (m_rate_limits.note(view.id(), fact, received) == FactChange::Changed)
        log_limit(view.id(), before, "answer");
}

void BackendFleet::receive_report(
    Policy::RateLimitFacts::Report const& report, Policy::Relaying relaying, Core::MonotonicTime now)
{
    auto const before = rate_limit_of(report.server);
    if (m_rate_limits.apply(report, relaying, now) == Policy::FactChange::Changed)
        log_limit(report.server, before, "gateway");
}

void BackendFleet::receive_report(
    Policy::LeavingFacts::Report const& report, Policy::Relaying relaying, Core::MonotonicTime now)
{
    if (m_leaving_facts.apply(report, relaying, now) == Policy::FactChange::Changed)
        mark_leaving(report.server, "gateway");
}

void BackendFleet::mark_leaving(std::uint64_t server, std::string_view source) const
{
    auto const view = find(server);
    if (view == nullptr)
        return;
    view->set_states_leaving();
    m_log.write(Observe::LogEvent("server-leaving")
                    .add("server", view->record().instance)
                    .add("service", view->record().service)
                    .add("listed_as_leaving", view->record().state == Table::BackendServerState::Leaving)
                    .add("source", source));
}

void BackendFleet::log_limit(std::uint64_t server, std::optional<double> before, std::string_view source) const
{
    auto const view = find(server);
    if (view == nullptr)
        return;
    constexpr double no_limit = -1;
    m_log.write(Observe::LogEvent("server-limit")
                    .add("server", view->record().instance)
                    .add("service", view->record().service)
                    .add("rate", rate_limit_of(server).value_or(no_limit))
                    .add("before", before.value_or(no_limit))
                    .add("gateways", m_limit_shares.known_gateways())
                    .add("source", source));
}

}
