#include <LibEntry/RequestRuns.h>

#include <LibCore/Text.h>

#include <algorithm>

namespace GraniteField::Entry {

namespace {

constexpr Core::Milliseconds s_no_backend_retry_after {1'000};
constexpr Core::Milliseconds s_timed_out_retry_after {1'000};

template <typename Chooser>
Chooser make_chooser(RequestRuns::Settings const& settings)
{
    if constexpr (std::is_same_v<Chooser, Policy::PredictedWaitChooser>)
        return Policy::PredictedWaitChooser(settings.missed_prefix_cost_per_kilobyte);
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
    if (settings.chooser == ChooserStrategy::RoundRobin)
        m_chooser = make_chooser<Policy::RoundRobinChooser>(settings);
    else if (settings.chooser == ChooserStrategy::LeastOutstanding)
        m_chooser = make_chooser<Policy::LeastOutstandingChooser>(settings);
}

ClassMetrics& RequestRuns::metrics_of(RequestRun const& run)
{
    auto const& name = run.call().request_class.name;
    return m_class_metrics.try_emplace(name, m_metrics, name).first->second;
}

void RequestRuns::record_decision(RequestRun const& run, std::string what)
{
    m_decisions.record(run.call().id, std::move(what));
}

void RequestRuns::begin(Call call, std::shared_ptr<CallerExchange> exchange, Core::MonotonicTime now)
{
    if (call.kind == CallKind::Ticket)
        return issue_ticket(call, *exchange);
    auto const id = call.id;
    auto& run = m_runs.try_emplace(id, std::move(call), std::move(exchange)).first->second;
    metrics_of(run).calls.add();
    if (auto const excess = m_limits.enter(run.call().workspace, now)) {
        record_decision(
            run, Core::concat("refused: workspace ", run.call().workspace.name, " exceeds its limit ", excess->limit));
        ErrorAnswer const error {429, "limit_" + excess->limit,
            Core::concat("the workspace exceeds its limit ", excess->limit), Outcome::NotRun, excess->retry_after};
        // The request was not counted by enter(), so leave() must not be called for it.
        record_attainment(run, Outcome::NotRun);
        ErrorAnswer answer = error;
        if (!run.call().ticket.empty())
            answer.outcome = Outcome::Unknown;
        run.fail(answer);
        m_runs.erase(id);
        return;
    }
    if (!run.call().ticket.empty())
        return dispatch_ticket(run, now);
    m_retry_budget.note_first_try();
    dispatch_or_hold(run,
        {503, "no_backend", "no backend server of the service is reachable", Outcome::NotRun, s_no_backend_retry_after},
        now);
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
        record_decision(run, "the caller closed its connection");
        if (link != nullptr)
            revoke(*link, run);
        metrics_of(run).callers_gone.add();
        return finish(run, Outcome::Cut);
    }
    if (link == nullptr)
        return;
    bool const has_started = attempt->state == AttemptView::State::Started;
    bool const is_out_of_time
        = Core::elapsed(run.call().received, now) > run.call().request_class.give_up_after + m_settings.timeout_grace;
    if (!has_started && is_out_of_time)
        return time_out(run, now);
    if (!link->is_up()) {
        if (Core::elapsed(attempt->last_heard, now) > m_settings.stall_limit)
            retry_lost(run,
                {504, "side_silent", "the side process that has the request does not respond", Outcome::Unknown,
                    s_no_backend_retry_after},
                now);
        return;
    }
    if (attempt->acknowledged < attempt->chunks && run.can_caller_receive_more())
        acknowledge(*link, run, false);
    bool const is_quiet = Core::elapsed(attempt->last_heard, now) > m_settings.resume_interval
        && Core::elapsed(attempt->last_resume, now) > m_settings.resume_interval;
    if (is_quiet)
        send_resume(*link, run, now);
}

void RequestRuns::time_out(RequestRun& run, Core::MonotonicTime)
{
    auto* link = m_links.find(run.attempt()->backend_server);
    if (link != nullptr)
        revoke(*link, run);
    // The side process, which alone knows whether the request has run, did not answer in time.
    fail(run,
        {504, "gave_up", "the request did not start within its class's time limit", Outcome::Unknown,
            s_timed_out_retry_after});
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
    record_decision(run, Core::concat("ended as ", to_string(outcome)));
    if (m_spans != nullptr && run.call().trace.is_sampled) {
        auto const wall_now = std::chrono::system_clock::now();
        auto const age = Core::monotonic_now() - run.call().received;
        auto const start = wall_now - std::chrono::duration_cast<std::chrono::system_clock::duration>(age);
        m_spans->record({run.call().trace, run.call().parent_span_id, "entry", start, wall_now,
            {{"request", run.call().id.to_string()}, {"class", run.call().request_class.name},
                {"outcome", std::string(to_string(outcome))}},
            outcome != Outcome::Done});
    }
    m_limits.leave(run.call().workspace);
    close_attempt(run);
    m_held.erase(held_key(run));
    m_runs.erase(run.call().id);
}

void RequestRuns::fail(RequestRun& run, ErrorAnswer error)
{
    bool const is_earlier_use_unknown = !run.call().ticket.empty() && !run.is_ticket_unused();
    if (run.may_have_run() || is_earlier_use_unknown)
        error.outcome = Outcome::Unknown;
    if (error.retry_after.count() > 0)
        error.retry_after = std::min(error.retry_after, run.smallest_retry_after().value_or(error.retry_after));
    record_decision(run, Core::concat("refused: ", error.code, ", ", error.message));
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
            cut(run, "stopping", "this entry is stopping");
        else
            fail(run, {503, "stopping", "this entry is stopping", Outcome::Unknown, s_no_backend_retry_after});
    }
}

}
