#include <LibGateway/GatewayRun.h>

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibEntry/CallInterpreter.h>
#include <LibGateway/ErrorResponse.h>
#include <LibHTTP/Status.h>
#include <LibPolicy/RetryAfter.h>

#include <algorithm>
#include <array>

namespace GraniteField::Gateway {

using Entry::Outcome;
namespace Status = HTTP::Status;

Policy::FleetRetryBudget& RunContext::budget_of(std::string const& service)
{
    auto& budget = budgets.try_emplace(service, settings.retries).first->second;
    budget.set_allowance(settings.retries);
    budget.set_entry_count(entry_count);
    return budget;
}

GatewayRun::GatewayRun(RunContext& context, GatewayCall call, std::shared_ptr<CallerConnection> caller)
    : m_context(context)
    , m_call(std::move(call))
    , m_caller(std::move(caller))
{
    m_caller->set_on_gone([this] { handle_caller_gone(); });
}

GatewayRun::~GatewayRun()
{
    if (m_attempt)
        m_attempt->cancel();
    if (!m_is_over)
        m_caller->set_on_gone(nullptr);
}

void GatewayRun::begin(Core::MonotonicTime now)
{
    m_context.budget_of(m_call.service).note_first_send(now);
    dispatch(now);
}

void GatewayRun::dispatch(Core::MonotonicTime now)
{
    if (now >= m_call.deadline)
        return give_up(now);
    // Every way to a server leads through here: the first send, a repeat, a stream that goes on, one that has stalled.
    if (is_quarantined(now))
        return hold_back();
    // Looked at again with the next tick.
    if (is_in_doubt(now))
        return;
    auto const choice = choose(now);
    if (!choice.server)
        return hold(now);
    m_held_since.reset();
    if (auto const rejection = refuse_now(choice, now)) {
        m_choice = choice;
        tell_rejection(*rejection);
        return fail(
            Status::s_bad_gateway, "engines_full", "no engine is expected to begin in time", rejection->retry_after);
    }
    send_to(choice, now);
}

bool GatewayRun::is_quarantined(Core::MonotonicTime now) const
{
    auto& ledger = m_context.crashes.ledger();
    return ledger.count_quarantined() > 0 && ledger.is_quarantined(m_call.digest(), now);
}

bool GatewayRun::is_in_doubt(Core::MonotonicTime now) const
{
    auto const& ledger = m_context.crashes.ledger();
    return !ledger.is_empty() && ledger.is_suspected(m_call.digest(), now);
}

void GatewayRun::hold_back()
{
    m_context.metrics.note_refused_by_quarantine();
    drop_unsent_attempt();
    if (m_has_begun_answer)
        return cut("quarantined");
    // It has run, if not under this id, so that nothing may say that it has not, or invite it to come again.
    m_may_have_run = true;
    fail(Status::s_bad_gateway, "quarantined", "this request has crashed the servers that began it");
}

bool GatewayRun::has_run_for_long(Core::MonotonicTime now) const
{
    auto const head_came = m_attempt->head_came();
    return head_came && Core::elapsed(*head_came, now) > m_context.settings.just_begun;
}

void GatewayRun::recall()
{
    m_may_have_run = true;
    drop_unsent_attempt();
    hold_back();
}

Choice GatewayRun::choose(Core::MonotonicTime now) const
{
    auto const& ledger = m_context.crashes.ledger();
    auto const without = excluded();
    if (!ledger.is_empty()) {
        // A host that crashes whatever it gets is so told from a request that crashes whatever gets it, and the request
        // is not held for the host's fault.
        auto away = without;
        m_context.fleet.add_servers_at(ledger.crashed_addresses(m_call.digest()), away);
        if (away.size() > without.size()) {
            auto choice = m_context.fleet.choose(m_call, away, now);
            if (choice.server)
                return choice;
        }
    }
    return m_context.fleet.choose(m_call, without, now);
}

std::optional<Policy::Rejection> GatewayRun::refuse_now(Choice const& choice, Core::MonotonicTime now)
{
    // What was taken once goes on: a fault is no reason to refuse it.
    bool const has_just_come = m_sends == 0 && m_unsent == 0;
    if (!has_just_come || !m_call.is_stream() || m_call.prompt.empty())
        return std::nullopt;
    Policy::AdmissionRequest const question {m_call.service, m_call.request_class->name, m_call.priority,
        now - m_call.received, choice.predicted_wait, m_call.request_class->first_token_target, m_call.deadline - now};
    return m_context.admission.check(question, own_draw(), now);
}

double GatewayRun::own_draw() const
{
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(Core::hash_bytes(m_call.id) % steps) / steps;
}

void GatewayRun::tell_rejection(Policy::Rejection const& rejection) const
{
    auto const whole
        = [](Policy::FractionalMilliseconds time) { return std::chrono::duration_cast<Core::Milliseconds>(time); };
    m_context.log.write(Observe::LogEvent("not-admitted")
                            .add("request", m_call.id)
                            .add("service", m_call.service)
                            .add("class", m_call.request_class->name)
                            .add("priority", m_call.priority)
                            .add("reason", to_string(rejection.reason))
                            .add("predicted_wait_ms", m_choice.predicted_wait)
                            .add("probable_wait_ms", whole(rejection.probable_wait))
                            .add("target_ms", m_call.request_class->first_token_target)
                            .add("retry_after_ms", rejection.retry_after)
                            .add("unread_tokens", m_choice.unread_tokens)
                            .add("unread_before", m_choice.server->load().unread_tokens)
                            .add("open", m_choice.server->load().open));
}

std::set<std::string> GatewayRun::excluded() const
{
    auto servers = m_tried;
    servers.insert(m_unreached.begin(), m_unreached.end());
    return servers;
}

void GatewayRun::hold(Core::MonotonicTime now)
{
    // What does not change by itself is not waited for.
    switch (m_context.fleet.unavailability(m_call)) {
    case Unavailability::Regions:
        return fail(Status::s_bad_gateway, "region", "it is allowed in no region that has servers");
    case Unavailability::Drains:
        return fail(Status::s_bad_gateway, "drained", "the failure domains that could serve it are drained");
    case Unavailability::Servers:
        break;
    }
    // One that was sent already has had its try: another server is not waited for.
    bool const has_tried = !m_tried.empty();
    // Those that took no connection may do so by now.
    m_unreached.clear();
    if (!m_held_since)
        m_held_since = now;
    auto const target = m_call.request_class->first_token_target;
    auto const limit = std::min(m_context.settings.hold_limit, target / 4);
    auto const opening = m_context.fleet.earliest_send(m_call, now);
    bool const opens_too_late = opening && Core::elapsed(*m_held_since, opening->here) > limit;
    if (!has_tried && !opens_too_late && Core::elapsed(*m_held_since, now) < limit)
        return;
    if (opening)
        return fail(Status::s_bad_gateway, "servers_limited", "no backend server accepts it before that time",
            return_delay(*opening, now));
    fail(Status::s_bad_gateway, "no_backend_server", "no backend server of the service can be reached");
}

Core::Milliseconds GatewayRun::return_delay(EarliestSend const& opening, Core::MonotonicTime now) const
{
    return Policy::spread_retry_after(Core::elapsed(now, opening.anywhere), m_call.priority, own_draw());
}

void GatewayRun::send_to(Choice const& choice, Core::MonotonicTime now)
{
    m_choice = choice;
    // What broke the first try off may be the engine that it was to fetch from: the next one rests on no other engine.
    if (m_sends > 0)
        m_choice.forgo_fetch();
    auto const rule = m_call.head.method == "HEAD" ? HTTP::BodyRule::None : HTTP::BodyRule::Normal;
    m_attempt = std::make_shared<BackendAttempt>(m_context.loop, m_choice.server, rule, *this);
    m_attempt->load() = {1, m_choice.unread_tokens, m_choice.is_pause_sensitive ? 1U : 0U};
    m_choice.server->begin_attempt(m_attempt->load());
    m_context.fleet.note_sent(*m_choice.server, now);
    m_choice.server->prefixes().note_read(m_call.prompt);
    m_context.load.note_placement(*m_choice.server, shared_parts(m_call), own_tokens(m_call));
    m_attempt->begin(request_for(*m_choice.server, now), now);
    m_context.log.write(Observe::LogEvent("dispatch")
                            .add("request", m_call.id)
                            .add("server", m_choice.server->record().instance)
                            .add("service", m_call.service)
                            .add("class", m_call.request_class->name)
                            .add("workspace", m_call.workspace)
                            .add("tier", m_call.tier)
                            .add("priority", m_call.priority)
                            .add("send", m_sends + 1)
                            .add("candidates", m_choice.candidates)
                            .add("predicted_wait_ms", m_choice.predicted_wait)
                            .add("unread_tokens", m_choice.unread_tokens)
                            .add("moved_tokens", m_choice.moved_tokens)
                            .add("source", m_choice.source ? m_choice.source->record().instance : std::string())
                            .add("expected_loss_permille", static_cast<std::int64_t>(m_choice.expected_loss * 1'000))
                            .add("open", m_choice.server->load().open)
                            .add("pause_sensitive", m_choice.is_pause_sensitive)
                            .add("sensitive_streams", m_choice.server->load().pause_sensitive)
                            .add("remaining_ms", Core::elapsed(now, m_call.deadline))
                            .add("table", m_call.table->version().value()),
        m_sends == 0 ? Observe::LogWeight::Ordinary : Observe::LogWeight::Notable);
}

std::string GatewayRun::request_for(BackendView const& server, Core::MonotonicTime now) const
{
    auto const& dialect = m_context.dialect;
    auto const& head = m_call.head;
    // What the gateway sets itself, and the key, which no backend server may see.
    std::array<std::string_view, 7> const replaced {"Authorization", "Content-Length", "Expect", dialect.remaining_time,
        dialect.expected_instance, dialect.workspace, dialect.priority};
    // An engine answers an order that rests on a lease or copy that it does not have with a refusal, and callers may
    // set such fields.
    auto const is_kept_back = [&](std::string_view field) {
        auto const is_named = [field](std::string_view name) { return HTTP::is_same_name(name, field); };
        return std::ranges::any_of(replaced, is_named) || std::ranges::any_of(dialect.engine_control_fields, is_named);
    };
    auto const connection = head.fields.value_or("Connection", "");
    bool const is_resumed = m_first_event.has_value();
    auto text = Core::concat(head.method, " ", head.target, " HTTP/1.1\r\n");
    text.reserve(text.size() + m_call.body.size() + 1024);
    for (auto const& field : head.fields.all()) {
        if (is_kept_back(field.name) || HTTP::is_connection_field(field.name, connection))
            continue;
        if (is_resumed && HTTP::is_same_name(field.name, dialect.last_event_id))
            continue;
        Core::append(&text, field.name, ": ", field.value, "\r\n");
    }
    auto const remaining = std::max<std::int64_t>(1, Core::elapsed(now, m_call.deadline).count());
    Core::append(&text, dialect.remaining_time, ": ", remaining, "\r\n");
    Core::append(&text, dialect.expected_instance, ": ", server.record().instance, "\r\n");
    if (!m_call.workspace.empty())
        Core::append(&text, dialect.workspace, ": ", m_call.workspace, "\r\n");
    if (!m_call.prompt.empty())
        Core::append(&text, dialect.priority, ": ", m_call.priority, "\r\n");
    if (m_choice.source != nullptr && !dialect.prompt_source.empty())
        Core::append(&text, dialect.prompt_source, ": ", m_choice.source->record().address.to_string(), "\r\n");
    if (is_resumed && m_events.last_id())
        Core::append(&text, dialect.last_event_id, ": ", *m_events.last_id(), "\r\n");
    bool const names_body
        = head.fields.find("Content-Length") != nullptr || head.fields.find("Transfer-Encoding") != nullptr;
    if (names_body)
        Core::append(&text, "Content-Length: ", m_call.body.size(), "\r\n");
    text += "Connection: close\r\n\r\n";
    text += m_call.body;
    return text;
}

GatewayRun::AttemptResult GatewayRun::result_of_error(Core::MonotonicTime now) const
{
    return m_attempt->server().backoff().is_in_force(now) ? AttemptResult::Rejected : AttemptResult::Failure;
}

void GatewayRun::end_attempt(AttemptResult result, Core::MonotonicTime now)
{
    auto const attempt = std::exchange(m_attempt, nullptr);
    auto& server = attempt->server();
    switch (result) {
    case AttemptResult::Success:
        if (server.note_success(now))
            m_context.load.note_answering(server);
        server.note_latency(now - attempt->begun());
        break;
    case AttemptResult::Failure:
        server.note_failure(now);
        break;
    case AttemptResult::Rejected:
        break;
    }
    ++m_sends;
    attempt->cancel();
    // The caller of this function may still read the attempt's answer.
    boost::asio::post(m_context.loop, [attempt] {});
}

void GatewayRun::note_running(Core::MonotonicTime begun)
{
    if (m_context.usage == nullptr || m_call.workspace.empty() || std::exchange(*m_is_counted, true))
        return;
    m_context.usage->count(m_call.workspace, begun);
}

void GatewayRun::note_unanswered()
{
    if (m_attempt && m_attempt->is_sent() && !m_call.is_stream())
        note_running(m_attempt->begun());
}

void GatewayRun::handle_failure(BackendAttempt& attempt, BackendAttempt::Failure failure, std::string const& reason)
{
    auto const now = Core::monotonic_now();
    if (failure == BackendAttempt::Failure::Broken) {
        m_context.load.note_broken(attempt.server());
        return handle_broken(reason, now);
    }
    attempt.server().note_unreachable(m_context.entry_count, now);
    m_context.load.note_unreachable(attempt.server());
    m_context.metrics.note_unreachable();
    m_unreached.insert(attempt.server().record().instance);
    m_attempt.reset();
    m_context.log.write(Observe::LogEvent("unreachable")
                            .add("request", m_call.id)
                            .add("server", m_choice.server->record().instance)
                            .add("reason", reason));
    if (++m_unsent >= m_context.settings.most_connects)
        return fail(Status::s_bad_gateway, "unreachable", "no backend server took the connection");
    dispatch(now);
}

void GatewayRun::handle_not_run(Core::MonotonicTime now)
{
    auto const status = m_attempt->parser().head().status;
    auto const retry_after = std::string(m_attempt->parser().head().fields.value_or("Retry-After", ""));
    m_tried.insert(m_attempt->server().record().instance);
    end_attempt(result_of_error(now), now);
    m_context.log.write(Observe::LogEvent("refused-by-server")
                            .add("request", m_call.id)
                            .add("server", m_choice.server->record().instance)
                            .add("status", status)
                            .add("retry_after", retry_after));
    if (may_try_again(now))
        return try_again("the backend server did not run it", now);
    if (m_has_begun_answer)
        return cut("the stream was not taken up");
    auto const opening = m_context.fleet.earliest_send(m_call, now);
    fail(Status::s_bad_gateway, "refused", "the backend server did not take the request",
        opening ? std::optional(return_delay(*opening, now)) : std::nullopt);
}

void GatewayRun::handle_broken(std::string const& reason, Core::MonotonicTime now)
{
    m_may_have_run = true;
    m_tried.insert(m_attempt->server().record().instance);
    auto const head_came = m_attempt->head_came();
    auto const sent = m_attempt->begun();
    note_unanswered();
    m_context.crashes.note_broken_answer(m_attempt->server(), m_call.digest(), exposure(now), now);
    if (m_context.usage != nullptr && m_call.is_stream() && !*m_is_counted && !m_call.workspace.empty())
        m_context.unseen_runs.add(m_choice.server, m_call.workspace, m_is_counted, now);
    end_attempt(AttemptResult::Failure, now);
    m_kept_answer.clear();
    m_context.log.write(Observe::LogEvent("broken")
                            .add("request", m_call.id)
                            .add("server", m_choice.server->record().instance)
                            .add("digest", m_call.digest().to_string())
                            .add("send", m_sends)
                            .add("has_begun", m_has_begun_answer)
                            .add("sent_ms_ago", Core::elapsed(sent, now))
                            .add("head_ms_ago", head_came ? Core::elapsed(*head_came, now) : Core::Milliseconds(-1))
                            .add("reason", reason));
    bool const can_go_on = !m_has_begun_answer || (m_call.is_stream() && (m_events.last_id() || !m_first_event));
    if (m_call.is_repeatable() && can_go_on && may_try_again(now)) {
        m_events.drop_partial_event();
        return try_again(reason, now);
    }
    if (m_has_begun_answer)
        return cut(reason);
    fail(Status::s_bad_gateway, "broken", "the backend server broke off its answer");
}

Policy::Exposure GatewayRun::exposure(Core::MonotonicTime now) const
{
    auto const head_came = m_attempt->head_came();
    // An answer that is no stream begins when it ends, so that the send stands for the beginning.
    auto const begun = head_came || m_call.is_stream() ? head_came : m_attempt->begun();
    bool const has_just_begun = begun && Core::elapsed(*begun, now) <= m_context.settings.just_begun;
    return has_just_begun ? Policy::Exposure::Fresh : Policy::Exposure::Weak;
}

bool GatewayRun::may_try_again(Core::MonotonicTime now)
{
    // The attempt in hand is counted when it ends.
    auto const sends = m_sends + (m_attempt ? 1 : 0);
    if (sends >= m_call.route->tries || now >= m_call.deadline)
        return false;
    // The repeats of one that crashes servers would use up what those need that died beside it.
    auto const& ledger = m_context.crashes.ledger();
    if (!ledger.is_empty() && ledger.count_crash_moments(m_call.digest()) >= m_context.settings.moments_without_repeats)
        return false;
    if (m_context.budget_of(m_call.service).try_spend(now))
        return true;
    m_context.metrics.note_denied_retry();
    return false;
}

void GatewayRun::try_again(std::string_view why, Core::MonotonicTime now)
{
    m_context.metrics.note_retry();
    m_context.log.write(Observe::LogEvent("retry")
                            .add("request", m_call.id)
                            .add("why", why)
                            .add("sends", m_sends)
                            .add("budget", m_context.budget_of(m_call.service).balance()));
    m_kept_answer.clear();
    dispatch(now);
}

void GatewayRun::tick(Core::MonotonicTime now)
{
    if (m_is_over)
        return;
    if (now >= m_call.deadline)
        return give_up(now);
    if (!m_attempt)
        return dispatch(now);
    if (is_quarantined(now) && !has_run_for_long(now))
        return recall();
    if (!m_attempt->is_sent() && Core::elapsed(m_attempt->begun(), now) > m_context.settings.connect_limit) {
        auto const attempt = m_attempt;
        attempt->cancel();
        return handle_failure(*attempt, BackendAttempt::Failure::NotSent, "the connection did not come up in time");
    }
    if (m_call.is_repeatable() && m_attempt->is_sent() && is_stalled(now))
        return replace_stalled_attempt(now);
    if (m_attempt->is_paused() && m_caller->pending_bytes() <= caller_window() / 2)
        m_attempt->resume();
}

void GatewayRun::note_absence(Core::MonotonicTime now)
{
    if (m_attempt)
        m_attempt->forgive_silence(now);
}

bool GatewayRun::is_stalled(Core::MonotonicTime now) const
{
    auto const last_input = m_attempt->last_input();
    if (Core::elapsed(last_input, now) > stall_limit())
        return true;
    auto const suspected = m_attempt->server().suspected_since();
    return suspected && last_input < *suspected && Core::elapsed(*suspected, now) > m_context.settings.stall_suspected;
}

Core::Milliseconds GatewayRun::stall_limit() const
{
    auto const& settings = m_context.settings;
    auto const& request_class = *m_call.request_class;
    auto const times = [](Core::Milliseconds duration, double factor) {
        return std::chrono::duration_cast<Core::Milliseconds>(duration * factor);
    };
    bool const has_begun = m_attempt->head_came().has_value();
    if (m_call.is_stream() && has_begun)
        return std::max(settings.stall_least_pause, times(request_class.token_gap_target, settings.stall_pause_factor));
    auto const factor = m_call.is_stream() ? settings.stall_first_event_factor : settings.stall_factor;
    auto const part = m_call.is_stream() ? settings.stall_first_event_part : settings.stall_least_part;
    return std::max(times(m_choice.predicted_wait, factor), times(request_class.first_token_target, part));
}

void GatewayRun::replace_stalled_attempt(Core::MonotonicTime now)
{
    auto const silence = Core::elapsed(m_attempt->last_input(), now);
    bool const is_silent_by_us = m_attempt->is_paused();
    auto const server = m_attempt->server().record().instance;
    auto without_it = excluded();
    without_it.insert(server);
    bool const has_other = m_context.fleet.choose(m_call, without_it, now).server != nullptr;
    if (is_silent_by_us || !has_other || !may_try_again(now))
        return;
    m_context.log.write(Observe::LogEvent("stalled")
                            .add("request", m_call.id)
                            .add("server", m_attempt->server().record().instance)
                            .add("silent_ms", silence)
                            .add("predicted_wait_ms", m_choice.predicted_wait)
                            .add("has_begun", m_has_begun_answer));
    m_may_have_run = true;
    m_tried.insert(server);
    note_unanswered();
    end_attempt(AttemptResult::Failure, now);
    m_events.drop_partial_event();
    try_again("the backend server is silent", now);
}

void GatewayRun::give_up(Core::MonotonicTime now)
{
    if (m_attempt && m_attempt->is_sent()) {
        m_may_have_run = true;
        note_unanswered();
        end_attempt(m_first_event ? AttemptResult::Success : AttemptResult::Failure, now);
    }
    drop_unsent_attempt();
    if (m_has_begun_answer)
        return cut("the time limit is over");
    fail(Status::s_gateway_timeout, "time_limit", "the request's time limit is over");
}

void GatewayRun::drop_unsent_attempt()
{
    // Its connection may still come up, and must then not send what is refused by now.
    if (m_attempt)
        m_attempt->cancel();
    m_attempt.reset();
}

void GatewayRun::handle_caller_gone()
{
    if (m_is_over)
        return;
    m_context.metrics.note_cancelled();
    note_unanswered();
    if (m_attempt)
        m_attempt->cancel();
    finish(m_may_have_run || m_sends > 0 || (m_attempt && m_attempt->is_sent()) ? Outcome::Unknown : Outcome::NotRun, 0,
        "caller_gone");
}

void GatewayRun::abandon()
{
    if (m_is_over)
        return;
    if (m_attempt) {
        m_may_have_run = m_may_have_run || m_attempt->is_sent();
        m_attempt->cancel();
    }
    if (m_has_begun_answer)
        return cut("stopping");
    fail(Status::s_bad_gateway, "stopping", "this gateway stops");
}

void GatewayRun::fail(
    int status_if_may_have_run, std::string code, std::string message, std::optional<Core::Milliseconds> retry_after)
{
    Entry::ErrorAnswer error;
    error.status = m_may_have_run ? status_if_may_have_run : Status::s_unavailable;
    error.outcome = m_may_have_run ? Outcome::Unknown : Outcome::NotRun;
    error.code = std::move(code);
    error.message = std::move(message);
    error.retry_after = retry_after.value_or(m_context.settings.retry_after);
    send_error_response(*m_caller, error, m_call.id, m_context.dialect);
    finish(error.outcome, error.status, error.code);
}

void GatewayRun::cut(std::string_view reason)
{
    m_caller->cut();
    finish(Outcome::Cut, 0, reason);
}

void GatewayRun::finish(Outcome outcome, int status, std::string_view reason)
{
    if (m_is_over)
        return;
    m_is_over = true;
    m_caller->set_on_gone(nullptr);
    log_end(outcome, status, reason);
}

void GatewayRun::log_end(Outcome outcome, int status, std::string_view reason)
{
    auto const now = Core::monotonic_now();
    auto const total = now - m_call.received;
    bool const is_ordinary = outcome == Outcome::Done && Status::is_success(status) && m_sends <= 1;
    // Reasons from outside are many; the metric keeps to those of the code.
    m_context.metrics.note_end(m_call.tier, outcome, outcome == Outcome::Cut ? "cut" : std::string(reason));
    if (outcome == Outcome::Done)
        m_context.metrics.note_answer_duration(m_call.tier, std::chrono::duration_cast<Core::Microseconds>(total));
    m_context.log.write(
        Observe::LogEvent("request-end")
            .add("request", m_call.id)
            .add("digest", is_ordinary ? std::string() : m_call.digest().to_string())
            .add("outcome", to_string(outcome))
            .add("status", status)
            .add("reason", reason)
            .add("route", m_call.route->name)
            .add("class", m_call.request_class->name)
            .add("workspace", m_call.workspace)
            .add("sends", m_sends)
            .add("server", m_choice.server ? m_choice.server->record().instance : std::string())
            .add("first_ms", m_first_event ? Core::elapsed(m_call.received, *m_first_event) : Core::Milliseconds(-1))
            .add("target_ms", m_call.request_class->first_token_target)
            .add("total_ms", std::chrono::duration_cast<Core::Milliseconds>(total))
            .add("longest_pause_ms", m_longest_pause)
            .add("pause_target_ms", m_call.request_class->token_gap_target)
            .add("table", m_call.table->version().value()),
        is_ordinary ? Observe::LogWeight::Ordinary : Observe::LogWeight::Notable);
}

}
