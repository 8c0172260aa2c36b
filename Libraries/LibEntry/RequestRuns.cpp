#include <LibEntry/RequestRuns.h>

#include <LibCore/Identifiers.h>
#include <LibCore/Text.h>
#include <LibEntry/CallInterpreter.h>
#include <LibProtocol/ProtocolVersion.h>
#include <LibSide/TicketBook.h>

#include <algorithm>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Entry {

using Protocol::Message::Envelope;

namespace {

constexpr Core::Milliseconds s_no_backend_retry_after {1'000};
constexpr Core::Milliseconds s_gave_up_retry_after {1'000};
/// Bytes that a caller has not taken yet, above which the side process is not told to go on.
constexpr std::size_t s_caller_window_bytes = 256U << 10U;
/// Revocations kept for a link that is down. What is beyond is stopped by the side process itself, when it
/// finds its entry silent or the request's time over.
constexpr std::size_t s_largest_waiting_revocations = 10'000;

template <typename Chooser>
Chooser make_chooser(RequestRuns::Settings const& settings)
{
    if constexpr (std::is_same_v<Chooser, Policy::PredictedWaitChooser>)
        return Policy::PredictedWaitChooser(settings.missed_prefix_cost);
    else
        return Chooser();
}

}

RequestRuns::RequestRuns(Settings settings, LinkSet& links, Observe::MetricRegistry& metrics,
    Observe::DecisionRing& decisions, Observe::SpanExporter* spans)
    : m_settings(settings)
    , m_links(links)
    , m_chooser(make_chooser<Policy::PredictedWaitChooser>(settings))
    , m_metrics(metrics)
    , m_tokens(metrics.counter("granitefield_entry_tokens_total"))
    , m_decisions(decisions)
    , m_spans(spans)
{
    if (settings.chooser == ChooserName::RoundRobin)
        m_chooser = make_chooser<Policy::RoundRobinChooser>(settings);
    else if (settings.chooser == ChooserName::LeastOutstanding)
        m_chooser = make_chooser<Policy::LeastOutstandingChooser>(settings);
}

ClassMetrics& RequestRuns::metrics_of(RequestRun const& run)
{
    auto const& name = run.call().request_class.name;
    return m_class_metrics.try_emplace(name, m_metrics, name).first->second;
}

void RequestRuns::decide(RequestRun const& run, std::string what)
{
    m_decisions.record(run.call().id, std::move(what));
}

void RequestRuns::begin(Call call, std::shared_ptr<CallerExchange> exchange, Core::MonotonicTime now)
{
    if (call.kind == CallKind::Ticket)
        return give_ticket(call, *exchange);
    auto const id = call.id;
    auto& run = m_runs.try_emplace(id, std::move(call), std::move(exchange)).first->second;
    metrics_of(run).calls.add();
    if (auto const excess = m_limits.enter(run.call().workspace, now)) {
        decide(
            run, Core::concat("refused: workspace ", run.call().workspace.name, " is over its limit ", excess->limit));
        ErrorAnswer const error {429, "limit_" + excess->limit,
            Core::concat("the workspace is over its limit ", excess->limit), Outcome::NotRun, excess->retry_after};
        // It was never counted in, and leave() is for those that were.
        record_attainment(run, Outcome::NotRun);
        ErrorAnswer told = error;
        if (!run.call().ticket.empty())
            told.outcome = Outcome::Unknown;
        run.fail(told);
        m_runs.erase(id);
        return;
    }
    if (!run.call().ticket.empty())
        return dispatch_ticket(run, now);
    m_retry_budget.note_first_try();
    dispatch_or_hold(run,
        {503, "no_backend", "no backend server of the service can be reached", Outcome::NotRun,
            s_no_backend_retry_after},
        now);
}

void RequestRuns::give_ticket(Call const& call, CallerExchange& exchange)
{
    auto const links = m_links.available(call.service);
    FullAnswer answer;
    answer.content_type = "application/json";
    if (links.empty()) {
        ErrorAnswer const error {503, "no_backend", "no backend server of the service can be reached", Outcome::NotRun,
            s_no_backend_retry_after};
        answer.status = error.status;
        answer.body = encode_error(error, call.id);
        answer.outcome = error.outcome;
        answer.retry_after = error.retry_after;
        return exchange.answer(std::move(answer));
    }
    // The least loaded one: the ticket ties the request to it.
    auto const* link = *std::ranges::min_element(links, {}, [](auto const* candidate) {
        return std::pair(Policy::predicted_wait(candidate->view(), Policy::s_urgent_tier),
            candidate->view().running + candidate->view().open);
    });
    Side::Ticket const ticket {
        link->incarnation(), link->side_uptime(), call.id.sequence ^ call.id.entry, link->backend_server().name};
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
    Policy::ChoiceQuery const query {run.call().request_class.tier, run.call().prefix_hash};
    auto const index = std::visit([&](auto& chooser) { return chooser.choose(query, views); }, m_chooser);
    return links[index];
}

bool RequestRuns::try_dispatch(RequestRun& run, Core::MonotonicTime now)
{
    while (run.tried_count() < m_settings.largest_tries) {
        auto* link = choose(run);
        if (link == nullptr)
            return false;
        if (send_dispatch(run, *link, now))
            return true;
    }
    return false;
}

void RequestRuns::dispatch(RequestRun& run, ErrorAnswer otherwise, Core::MonotonicTime now)
{
    if (!try_dispatch(run, now))
        fail(run, std::move(otherwise));
}

RequestRuns::HeldPlace RequestRuns::held_place(RequestRun const& run)
{
    return {run.call().request_class.tier, run.call().received, run.call().id};
}

void RequestRuns::dispatch_or_hold(RequestRun& run, ErrorAnswer otherwise, Core::MonotonicTime now)
{
    if (try_dispatch(run, now))
        return;
    auto const limit = std::min(m_settings.hold_limit, run.call().request_class.give_up_after);
    if (!m_links.has_service(run.call().service) || Core::elapsed(run.call().received, now) >= limit)
        return fail(run, std::move(otherwise));
    decide(run, Core::concat("waits at the entry: ", otherwise.message));
    m_held.emplace(held_place(run), std::move(otherwise));
    if (m_held.size() <= m_settings.largest_held_count)
        return;
    // The last place belongs to the lowest tier, and there to the latest.
    auto last = std::prev(m_held.end());
    auto& last_run = m_runs.at(last->first.request);
    auto error = std::move(last->second);
    m_held.erase(last);
    fail(last_run, std::move(error));
}

void RequestRuns::dispatch_held(Core::MonotonicTime now)
{
    std::vector<HeldPlace> places;
    places.reserve(m_held.size());
    for (auto const& [place, error] : m_held)
        places.push_back(place);
    for (auto const& place : places) {
        auto& run = m_runs.at(place.request);
        run.forget_tries();
        auto node = m_held.extract(place);
        if (run.exchange().is_caller_gone()) {
            finish(run, Outcome::Cut);
            continue;
        }
        auto const limit = std::min(m_settings.hold_limit, run.call().request_class.give_up_after);
        if (Core::elapsed(place.received, now) >= limit)
            fail(run, std::move(node.mapped()));
        else if (!try_dispatch(run, now))
            m_held.insert(std::move(node));
    }
}

void RequestRuns::dispatch_ticket(RequestRun& run, Core::MonotonicTime now)
{
    auto const ticket = Side::Ticket::from_string(run.call().ticket);
    auto* link = m_links.find(ticket->backend_server);
    // Only the run of the side process that the ticket names can say what became of it.
    if (link == nullptr || (link->is_up() && link->incarnation() != ticket->side))
        return fail(run,
            {409, "ticket_lost", "the side process that the ticket is bound to is gone; nobody can say whether it ran",
                Outcome::Unknown, Core::Milliseconds(0)});
    if (link->is_up() && link->backend_server().service == run.call().service && send_dispatch(run, *link, now))
        return;
    fail(run,
        {503, "ticket_unreachable",
            "the backend server that the ticket is bound to can't be reached now; try the same ticket again",
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
    decide(run,
        Core::concat("sent attempt ", attempt.number.value(), " to ", attempt.backend_server, ": expected wait ",
            Policy::predicted_wait(link.view(), call.request_class.tier).count() / 1000, " ms, ", link.view().running,
            " of ", link.view().slots, " slots taken"));
    return true;
}

void RequestRuns::leave_attempt(RequestRun& run)
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
    leave_attempt(run);
    bool const has_time = Core::elapsed(run.call().received, now) < run.call().request_class.give_up_after;
    // A ticket runs at its own side process or nowhere.
    if (!has_time || !run.call().ticket.empty())
        return fail(run, std::move(error));
    dispatch(run, std::move(error), now);
}

void RequestRuns::retry_unreached(RequestRun& run, ErrorAnswer error, Core::MonotonicTime now)
{
    leave_attempt(run);
    if (!run.call().ticket.empty())
        return fail(run, std::move(error));
    dispatch_or_hold(run, std::move(error), now);
}

void RequestRuns::retry_lost(RequestRun& run, ErrorAnswer error, Core::MonotonicTime now)
{
    run.note_may_have_run();
    if (run.has_forwarded())
        return cut(run, error.code, error.message);
    leave_attempt(run);
    error.outcome = Outcome::Unknown;
    bool const has_time = Core::elapsed(run.call().received, now) < run.call().request_class.give_up_after;
    if (!run.call().is_repeatable || !has_time || !m_retry_budget.try_spend())
        return fail(run, std::move(error));
    m_metrics.counter("granitefield_entry_retries_total").add();
    decide(run, Core::concat("tries again: ", error.message));
    dispatch_or_hold(run, std::move(error), now);
}

RequestRun* RequestRuns::find(Policy::WorkKey const& key, SideLink const& link)
{
    auto const found = m_runs.find(key.request);
    if (found == m_runs.end())
        return nullptr;
    auto const* attempt = found->second.attempt();
    bool const is_present
        = attempt != nullptr && attempt->number == key.attempt && attempt->backend_server == link.backend_server().name;
    return is_present ? &found->second : nullptr;
}

std::vector<Core::RequestId> RequestRuns::runs_at(SideLink const& link)
{
    std::vector<Core::RequestId> ids;
    for (auto& [id, run] : m_runs) {
        auto const* attempt = run.attempt();
        if (attempt != nullptr && attempt->backend_server == link.backend_server().name)
            ids.push_back(id);
    }
    return ids;
}

void RequestRuns::handle_replaced(SideLink& link, Core::MonotonicTime now)
{
    m_waiting_revocations.erase(link.backend_server().name);
    for (auto const& id : runs_at(link)) {
        auto& run = m_runs.at(id);
        retry_lost(run,
            {502, "side_lost", "the side process was replaced while it had the request", Outcome::Unknown,
                s_no_backend_retry_after},
            now);
    }
}

void RequestRuns::handle_lost(SideLink& link, Core::MonotonicTime now)
{
    for (auto const& id : runs_at(link)) {
        auto& run = m_runs.at(id);
        // What may not run twice, or has begun at the caller, waits for the side process to come back.
        if (!run.call().is_repeatable || run.has_forwarded())
            continue;
        revoke(link, run);
        retry_lost(run,
            {502, "side_silent", "the side process that had the request is silent", Outcome::Unknown,
                s_no_backend_retry_after},
            now);
    }
}

void RequestRuns::handle_came_back(SideLink& link, Core::MonotonicTime now)
{
    send_waiting_revocations(link);
    for (auto const& id : runs_at(link))
        ask(link, m_runs.at(id), now);
}

void RequestRuns::send_waiting_revocations(SideLink& link)
{
    auto const found = m_waiting_revocations.find(link.backend_server().name);
    if (found == m_waiting_revocations.end())
        return;
    for (auto const& envelope : found->second)
        link.send(envelope);
    m_waiting_revocations.erase(found);
}

void RequestRuns::revoke(SideLink& link, RequestRun& run)
{
    run.attempt()->is_revoked = true;
    auto envelope = Protocol::make_envelope();
    auto& message = *envelope.mutable_revoke();
    Protocol::set_key(message, run.key());
    message.set_side_incarnation(link.incarnation().value());
    message.set_session(link.session());
    // A call that may not be repeated is left to end: to break it off would not undo it.
    message.set_should_cancel_running(run.call().is_repeatable);
    if (link.send(envelope))
        return;
    auto& waiting = m_waiting_revocations[link.backend_server().name];
    if (waiting.size() < s_largest_waiting_revocations)
        waiting.push_back(std::move(envelope));
}

void RequestRuns::ask(SideLink& link, RequestRun& run, Core::MonotonicTime now)
{
    auto& attempt = *run.attempt();
    attempt.last_asked = now;
    auto envelope = Protocol::make_envelope();
    auto& resume = *envelope.mutable_resume();
    Protocol::set_key(resume, run.key());
    resume.set_side_incarnation(link.incarnation().value());
    resume.set_session(link.session());
    resume.set_after_sequence(attempt.chunks);
    link.send(envelope);
}

void RequestRuns::tick(Core::MonotonicTime now)
{
    dispatch_held(now);
    std::vector<Core::RequestId> ids;
    ids.reserve(m_runs.size());
    for (auto const& [id, run] : m_runs)
        ids.push_back(id);
    for (auto const& id : ids) {
        auto const found = m_runs.find(id);
        if (found != m_runs.end())
            tick_run(found->second, now);
    }
}

void RequestRuns::tick_run(RequestRun& run, Core::MonotonicTime now)
{
    auto* attempt = run.attempt();
    auto* link = attempt == nullptr ? nullptr : m_links.find(attempt->backend_server);
    if (run.exchange().is_caller_gone()) {
        decide(run, "the caller is gone");
        if (link != nullptr)
            revoke(*link, run);
        metrics_of(run).callers_gone.add();
        return finish(run, Outcome::Cut);
    }
    if (link == nullptr)
        return;
    bool const has_begun = attempt->state == AttemptView::State::Started;
    bool const is_out_of_time
        = Core::elapsed(run.call().received, now) > run.call().request_class.give_up_after + m_settings.give_up_grace;
    if (!has_begun && is_out_of_time)
        return give_up(run, now);
    if (!link->is_up()) {
        if (Core::elapsed(attempt->last_heard, now) > m_settings.stall_limit)
            retry_lost(run,
                {504, "side_silent", "the side process that has the request is silent", Outcome::Unknown,
                    s_no_backend_retry_after},
                now);
        return;
    }
    if (attempt->acknowledged < attempt->chunks && run.exchange().pending_bytes() < s_caller_window_bytes)
        acknowledge(*link, run, false);
    bool const is_quiet = Core::elapsed(attempt->last_heard, now) > m_settings.question_interval
        && Core::elapsed(attempt->last_asked, now) > m_settings.question_interval;
    if (is_quiet)
        ask(*link, run, now);
}

void RequestRuns::give_up(RequestRun& run, Core::MonotonicTime)
{
    auto* link = m_links.find(run.attempt()->backend_server);
    if (link != nullptr)
        revoke(*link, run);
    // No word came in time from the one process that could say that it has not run.
    fail(run,
        {504, "gave_up", "the request had not begun within its class's limit", Outcome::Unknown,
            s_gave_up_retry_after});
}

void RequestRuns::record_attainment(RequestRun& run, Outcome outcome)
{
    auto const& request_class = run.call().request_class;
    auto& metrics = metrics_of(run);
    m_metrics
        .counter("granitefield_entry_outcomes_total",
            {{"class", request_class.name}, {"outcome", std::string(to_string(outcome))}})
        .add();
    bool is_met = false;
    if (auto const first = run.first_token()) {
        auto const latency = std::chrono::duration_cast<Core::Microseconds>(*first - run.call().received);
        metrics.first_token.add(latency);
        is_met = outcome == Outcome::Done && latency <= request_class.first_token_target;
    }
    (is_met ? metrics.targets_met : metrics.targets_missed).add();
}

void RequestRuns::finish(RequestRun& run, Outcome outcome)
{
    record_attainment(run, outcome);
    decide(run, Core::concat("ended as ", to_string(outcome)));
    if (m_spans != nullptr && run.call().trace.is_sampled) {
        auto const wall_now = std::chrono::system_clock::now();
        auto const age = std::chrono::steady_clock::now() - run.call().received;
        auto const start = wall_now - std::chrono::duration_cast<std::chrono::system_clock::duration>(age);
        m_spans->record({run.call().trace, run.call().parent_span_id, "entry", start, wall_now,
            {{"request", run.call().id.to_string()}, {"class", run.call().request_class.name},
                {"outcome", std::string(to_string(outcome))}},
            outcome != Outcome::Done});
    }
    m_limits.leave(run.call().workspace);
    leave_attempt(run);
    m_held.erase(held_place(run));
    m_runs.erase(run.call().id);
}

void RequestRuns::fail(RequestRun& run, ErrorAnswer error)
{
    bool const is_earlier_use_unknown = !run.call().ticket.empty() && !run.is_ticket_unused();
    if (run.may_have_run() || is_earlier_use_unknown)
        error.outcome = Outcome::Unknown;
    if (error.retry_after.count() > 0)
        error.retry_after = std::min(error.retry_after, run.smallest_retry_after().value_or(error.retry_after));
    decide(run, Core::concat("refused: ", error.code, ", ", error.message));
    run.fail(error);
    finish(run, error.outcome);
}

void RequestRuns::cut(RequestRun& run, std::string const& code, std::string const& message)
{
    run.cut({502, code, message, Outcome::Cut, Core::Milliseconds(0)});
    finish(run, Outcome::Cut);
}

void RequestRuns::abandon_all()
{
    std::vector<Core::RequestId> ids;
    for (auto const& [id, run] : m_runs)
        ids.push_back(id);
    for (auto const& id : ids) {
        auto& run = m_runs.at(id);
        if (auto* attempt = run.attempt()) {
            if (auto* link = m_links.find(attempt->backend_server))
                revoke(*link, run);
        }
        if (run.has_forwarded())
            cut(run, "stopping", "this entry stops");
        else
            fail(run, {503, "stopping", "this entry stops", Outcome::Unknown, s_no_backend_retry_after});
    }
}

}
