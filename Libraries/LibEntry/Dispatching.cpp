// Selects backend servers and retries attempts that ended without an answer (RequestRuns).
#include <LibEntry/RequestRuns.h>

#include <LibCore/Text.h>
#include <LibSide/TicketBook.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace GraniteField::Entry {

namespace {

constexpr Core::Milliseconds s_no_backend_retry_after {1'000};

}

void RequestRuns::issue_ticket(Call const& call, CallerExchange& exchange)
{
    auto const links = m_links.available(call.service);
    if (links.empty()) {
        ErrorAnswer const error {503, "no_backend", "no backend server of the service is reachable", Outcome::NotRun,
            s_no_backend_retry_after};
        return exchange.answer(make_error_answer(error, call.id));
    }
    // Chooses the least loaded backend server, since the ticket binds the request to it.
    auto const* link = *std::ranges::min_element(links, {}, [](auto const* candidate) {
        return std::pair(Policy::predicted_wait(candidate->view(), Policy::s_urgent_tier),
            candidate->view().running + candidate->view().open);
    });
    Side::Ticket const ticket {
        link->incarnation(), link->side_uptime(), call.id.sequence ^ call.id.entry, link->backend_server().name};
    FullAnswer answer;
    answer.content_type = "application/json";
    answer.body = nlohmann::json {{"ticket", ticket.to_string()}, {"service", call.service}}.dump();
    exchange.answer(std::move(answer));
}

SideLink* RequestRuns::choose(RequestRun const& run)
{
    auto links = m_links.available(run.call().service);
    std::erase_if(links, [&run](auto const* link) { return run.was_tried(link->backend_server().name); });
    if (links.empty())
        return nullptr;
    std::vector<Policy::BackendView> views;
    views.reserve(links.size());
    for (auto const* link : links)
        views.push_back(link->view());
    Policy::ChoiceQuery const query {run.call().request_class.tier, run.call().prefix_hash, run.call().body.size()};
    auto const index = std::visit([&](auto& chooser) { return chooser.choose(query, views); }, m_chooser);
    return links[index];
}

bool RequestRuns::try_dispatch(RequestRun& run, Core::MonotonicTime now)
{
    while (run.tried_count() < m_settings.max_tries) {
        auto* link = choose(run);
        if (link == nullptr)
            return false;
        if (send_dispatch(run, *link, now))
            return true;
    }
    return false;
}

void RequestRuns::dispatch(RequestRun& run, ErrorAnswer fallback, Core::MonotonicTime now)
{
    if (!try_dispatch(run, now))
        fail(run, std::move(fallback));
}

RequestRuns::HeldKey RequestRuns::held_key(RequestRun const& run)
{
    return {run.call().request_class.tier, run.call().received, run.call().id};
}

void RequestRuns::dispatch_or_hold(RequestRun& run, ErrorAnswer fallback, Core::MonotonicTime now)
{
    if (try_dispatch(run, now))
        return;
    auto const limit = std::min(m_settings.hold_limit, run.call().request_class.give_up_after);
    if (!m_links.has_service(run.call().service) || Core::elapsed(run.call().received, now) >= limit)
        return fail(run, std::move(fallback));
    record_decision(run, Core::concat("waits in the entry: ", fallback.message));
    m_held.emplace(held_key(run), std::move(fallback));
    if (m_held.size() <= m_settings.max_held_requests)
        return;
    // The queue is full: the latest request of the lowest tier fails.
    auto last = std::prev(m_held.end());
    auto& last_run = m_runs.at(last->first.request);
    auto error = std::move(last->second);
    m_held.erase(last);
    fail(last_run, std::move(error));
}

void RequestRuns::dispatch_held(Core::MonotonicTime now)
{
    std::vector<HeldKey> keys;
    keys.reserve(m_held.size());
    for (auto const& [key, error] : m_held)
        keys.push_back(key);
    for (auto const& key : keys) {
        auto& run = m_runs.at(key.request);
        run.clear_tried();
        auto node = m_held.extract(key);
        if (run.exchange().is_caller_gone()) {
            finish(run, Outcome::Cut);
            continue;
        }
        auto const limit = std::min(m_settings.hold_limit, run.call().request_class.give_up_after);
        if (Core::elapsed(key.received, now) >= limit)
            fail(run, std::move(node.mapped()));
        else if (!try_dispatch(run, now))
            m_held.insert(std::move(node));
    }
}

void RequestRuns::dispatch_ticket(RequestRun& run, Core::MonotonicTime now)
{
    auto const ticket = Side::Ticket::from_string(run.call().ticket);
    auto* link = m_links.find(ticket->backend_server);
    // Only the incarnation of the side process that the ticket names knows whether the request ran.
    if (link == nullptr || (link->is_up() && link->incarnation() != ticket->side))
        return fail(run,
            {409, "ticket_lost",
                "the side process that the ticket is bound to no longer runs; whether the request ran is unknown",
                Outcome::Unknown, Core::Milliseconds(0)});
    if (link->is_up() && link->backend_server().service == run.call().service && send_dispatch(run, *link, now))
        return;
    fail(run,
        {503, "ticket_unreachable",
            "the backend server that the ticket is bound to is unreachable; retry with the same ticket",
            Outcome::Unknown, s_no_backend_retry_after});
}

bool RequestRuns::send_dispatch(RequestRun& run, SideLink& link, Core::MonotonicTime now)
{
    auto const& call = run.call();
    auto& attempt = run.begin_attempt(link.backend_server().name, now);
    auto const waited = Core::elapsed(call.received, now);
    auto envelope = Protocol::make_envelope();
    auto& dispatch = *envelope.mutable_dispatch();
    Protocol::set_key(dispatch, run.key());
    dispatch.set_side_incarnation(link.incarnation().value());
    dispatch.set_session(link.session());
    dispatch.set_remaining_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, (call.request_class.give_up_after - waited).count())));
    dispatch.set_waited_ms(static_cast<std::uint32_t>(waited.count()));
    dispatch.set_workspace(call.workspace.name);
    dispatch.set_workspace_weight(call.workspace.weight);
    dispatch.set_is_repeatable(call.is_repeatable);
    dispatch.set_ticket(call.ticket);
    dispatch.set_method(call.method);
    dispatch.set_path(call.path);
    dispatch.set_content_type(call.content_type);
    dispatch.set_body(call.body);
    dispatch.set_is_stream(call.is_stream);
    dispatch.set_traceparent(call.trace.to_header());
    auto& row = *dispatch.mutable_policy();
    row.set_table_version(call.table_version.value());
    row.set_request_class(call.request_class.name);
    row.set_tier(call.request_class.tier);
    row.set_weight(call.request_class.weight);
    row.set_floor_percent(call.request_class.floor_percent);
    row.set_first_token_target_ms(static_cast<std::uint32_t>(call.request_class.first_token_target.count()));
    row.set_token_gap_target_ms(static_cast<std::uint32_t>(call.request_class.token_gap_target.count()));
    row.set_queue_limit(call.request_class.queue_limit);
    row.set_should_refuse_late(call.request_class.late == Table::LatePolicy::Refuse);
    if (!link.send(envelope)) {
        run.drop_attempt();
        return false;
    }
    link.note_sent(call.request_class.tier);
    link.note_open(1);
    record_decision(run,
        Core::concat("sent attempt ", attempt.number.value(), " to ", attempt.backend_server, ": expected wait ",
            Policy::predicted_wait(link.view(), call.request_class.tier).count() / 1000, " ms, ", link.view().running,
            " of ", link.view().slots, " slots in use"));
    return true;
}

void RequestRuns::close_attempt(RequestRun& run)
{
    auto* attempt = run.attempt();
    if (attempt == nullptr)
        return;
    if (auto* link = m_links.find(attempt->backend_server)) {
        link->note_open(-1);
        if (!attempt->is_in_load_report)
            link->note_answered(run.call().request_class.tier);
    }
    run.drop_attempt();
}

void RequestRuns::retry_unstarted(RequestRun& run, ErrorAnswer error, Core::MonotonicTime now)
{
    run.note_refusal(error.retry_after);
    close_attempt(run);
    bool const has_time = Core::elapsed(run.call().received, now) < run.call().request_class.give_up_after;
    // A request with a ticket runs only at the ticket's side process.
    if (!has_time || !run.call().ticket.empty())
        return fail(run, std::move(error));
    dispatch(run, std::move(error), now);
}

void RequestRuns::retry_unreached(RequestRun& run, ErrorAnswer error, Core::MonotonicTime now)
{
    close_attempt(run);
    if (!run.call().ticket.empty())
        return fail(run, std::move(error));
    dispatch_or_hold(run, std::move(error), now);
}

void RequestRuns::retry_lost(RequestRun& run, ErrorAnswer error, Core::MonotonicTime now)
{
    run.note_may_have_run();
    if (run.has_forwarded())
        return cut(run, error.code, error.message);
    close_attempt(run);
    error.outcome = Outcome::Unknown;
    bool const has_time = Core::elapsed(run.call().received, now) < run.call().request_class.give_up_after;
    if (!run.call().is_repeatable || !has_time || !m_retry_budget.try_spend())
        return fail(run, std::move(error));
    m_metrics.counter("granitefield_entry_retries_total").add();
    record_decision(run, Core::concat("retries: ", error.message));
    dispatch_or_hold(run, std::move(error), now);
}

}
