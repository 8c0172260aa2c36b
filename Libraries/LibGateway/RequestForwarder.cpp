#include <LibGateway/RequestForwarder.h>

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>
#include <LibEntry/CallInterpreter.h>
#include <LibGateway/ErrorResponse.h>
#include <LibHTTP/Status.h>
#include <LibPolicy/RetryAfter.h>

#include <algorithm>
#include <array>

#include <absl/strings/str_join.h>

namespace GraniteField::Gateway {

using Entry::Outcome;
namespace Status = HTTP::Status;

namespace {

/// Work of an engine for a token that it writes, relative to one that it reads. Reading is batched over a prompt, while
/// each token written takes a step of the engine, shared by the streams that run.
constexpr double s_written_token_weight = 8;

/// Number of a route's time limits within which a caller can receive a stream's first event, lose the stream and resume
/// it.
constexpr int s_time_limits_per_stream = 4;

/// Returns the framing of the response, or nothing before its head has arrived.
std::string_view framing_of(BackendAttempt& attempt)
{
    return attempt.parser().has_head() ? to_string(attempt.parser().framing()) : "";
}

/// Size of a body from which on it is released early. Computing the digest first, which needs the body, is not worth it
/// for smaller ones.
constexpr std::size_t s_min_released_body = 64U << 10U;

}

Policy::FleetRetryBudget& ForwardingContext::budget_of(std::string const& service)
{
    auto& budget = budgets.try_emplace(service, settings.retries).first->second;
    budget.set_allowance(settings.retries);
    budget.set_entry_count(entry_count);
    return budget;
}

RequestForwarder::RequestForwarder(
    ForwardingContext& context, RoutedRequest request, std::shared_ptr<CallerConnection> caller)
    : m_context(context)
    , m_request(std::move(request))
    , m_caller(std::move(caller))
    , m_response_charge(context.memory, MemoryUse::BufferedResponses)
{
    m_caller->set_on_disconnect([this] { handle_caller_disconnect(); });
}

RequestForwarder::~RequestForwarder()
{
    if (m_attempt)
        m_attempt->cancel();
    if (!m_is_over)
        m_caller->set_on_disconnect(nullptr);
}

void RequestForwarder::start(Core::MonotonicTime now)
{
    m_context.budget_of(m_request.service).note_first_send(now);
    dispatch(now);
}

void RequestForwarder::dispatch(Core::MonotonicTime now)
{
    if (now >= m_request.deadline)
        return handle_deadline(now);
    m_context.apply_server_list();
    // Checked before each dispatch: first attempts, retries, resumed streams and stalled requests.
    if (is_quarantined(now))
        return reject_quarantined();
    // Decided at a later tick.
    if (is_quarantine_pending(now))
        return;
    if (!has_stream_version(now))
        return;
    auto const choice = choose_server(now);
    if (!choice.server)
        return hold(now);
    m_held_since.reset();
    if (auto const rejection = check_admission(choice, now)) {
        m_choice = choice;
        log_rejection(*rejection);
        m_context.metrics.note_rejected(m_request.tier, to_string(rejection->reason));
        return fail(Status::s_bad_gateway, "engines_full", "no engine is expected to start the request in time",
            rejection->retry_after);
    }
    send_to(choice, now);
}

bool RequestForwarder::has_stream_version(Core::MonotonicTime now)
{
    bool const needs_version = m_request.is_resumption(m_context.dialect) && !m_request.stream_version
        && m_context.fleet.has_versions(m_request.service);
    if (!needs_version)
        return true;
    using Status = StreamOriginSharing::Status;
    auto const resumed = m_request.head.fields.value_or(m_context.dialect.resumes, "");
    auto const period = m_request.route->time_limit * s_time_limits_per_stream;
    auto const resolution
        = m_context.streams.resolve(stream_key(m_request.workspace, resumed), m_request.service, period, now);
    m_context.load.send_stream_messages();
    if (resolution.status == Status::Pending)
        return false;
    log_stream_version(resolution, now);
    if (resolution.status != Status::Unknown) {
        m_request.stream_version = resolution.software_version;
        return true;
    }
    fail(HTTP::Status::s_bad_gateway, "unknown_stream", "the software version that began this stream is not known");
    return false;
}

void RequestForwarder::log_stream_version(StreamOriginSharing::Resolution const& resolution, Core::MonotonicTime now)
{
    m_context.metrics.note_resumption(to_string(resolution.status));
    m_context.log.write(Observe::LogEvent("resumption")
                            .add("request", m_request.id)
                            .add("resumes", m_request.head.fields.value_or(m_context.dialect.resumes, ""))
                            .add("service", m_request.service)
                            .add("result", to_string(resolution.status))
                            .add("version", resolution.software_version)
                            .add("waited_ms", Core::elapsed(m_request.received, now)));
}

bool RequestForwarder::is_quarantined(Core::MonotonicTime now) const
{
    auto& ledger = m_context.crashes.ledger();
    return ledger.count_quarantined() > 0 && ledger.is_quarantined(crash_identity(m_request, m_context.dialect), now);
}

bool RequestForwarder::is_quarantine_pending(Core::MonotonicTime now) const
{
    auto const& ledger = m_context.crashes.ledger();
    return !ledger.is_empty() && ledger.is_suspected(crash_identity(m_request, m_context.dialect), now);
}

void RequestForwarder::reject_quarantined()
{
    m_context.metrics.note_refused_by_quarantine();
    drop_unsent_attempt();
    if (m_has_started_response)
        return abort_response("quarantined");
    // The request may have run under another id, so the response must not claim otherwise or invite a retry.
    m_may_have_run = true;
    fail(Status::s_bad_gateway, "quarantined", "this request has crashed the backend servers that ran it");
}

bool RequestForwarder::has_long_running_attempt(Core::MonotonicTime now) const
{
    auto const head_received_at = m_attempt->head_received_at();
    return head_received_at && Core::elapsed(*head_received_at, now) > m_context.settings.recent_start_limit;
}

void RequestForwarder::reject_quarantined_attempt()
{
    m_may_have_run = true;
    note_abandoned_attempt(AbandonReason::Unwanted, Core::monotonic_now());
    drop_unsent_attempt();
    reject_quarantined();
}

Choice RequestForwarder::choose_server(Core::MonotonicTime now) const
{
    auto const& ledger = m_context.crashes.ledger();
    auto const excluded = excluded_servers();
    if (!ledger.is_empty()) {
        // Sending the request to another place tells a host that crashes on any request from a request that crashes any
        // host, and does not delay the request for a fault of the host.
        auto excluded_with_crash_places = excluded;
        m_context.fleet.add_servers_at(ledger.crashed_addresses(m_request.digest()), excluded_with_crash_places);
        if (excluded_with_crash_places.size() > excluded.size()) {
            auto choice = m_context.fleet.choose(m_request, excluded_with_crash_places, now);
            if (choice.server)
                return choice;
        }
    }
    return m_context.fleet.choose(m_request, excluded, now);
}

std::optional<Policy::Rejection> RequestForwarder::check_admission(Choice const& choice, Core::MonotonicTime now)
{
    // Admission applies to new requests only: an admitted request is not rejected because an attempt failed.
    bool const is_first_attempt = m_send_count == 0 && m_failed_connects == 0 && !m_was_withdrawn;
    // A resumed stream was admitted when it began.
    bool const is_resumed = m_request.stream_version.has_value();
    if (!is_first_attempt || is_resumed || !m_request.is_stream() || m_request.prompt.empty())
        return std::nullopt;
    Policy::AdmissionRequest const question {m_request.service, m_request.request_class->name, m_request.priority,
        now - m_request.received, choice.predicted_wait, m_request.request_class->first_token_target,
        m_request.deadline - now, m_request.workspace, work_of(choice), fingerprint(), choice.idle_wait};
    auto const claimed_before = m_context.admission.return_line().claimed_count();
    auto const rejection = m_context.admission.check(question, request_fraction(), now);
    if (m_context.admission.return_line().claimed_count() > claimed_before)
        m_context.metrics.note_returning();
    return rejection;
}

double RequestForwarder::work_of(Choice const& choice) const
{
    return choice.unread_tokens + s_written_token_weight * m_request.max_output_tokens;
}

Policy::ReturnLine::Fingerprint RequestForwarder::fingerprint() const
{
    if (!m_context.admission.settings().has_return_line)
        return 0;
    auto const caller = Core::hash_bytes(m_request.head.target, Core::hash_bytes(m_request.workspace));
    return static_cast<Policy::ReturnLine::Fingerprint>(Core::hash_bytes(m_request.body.text(), caller));
}

double RequestForwarder::request_fraction() const
{
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(Core::hash_bytes(m_request.id) % steps) / steps;
}

void RequestForwarder::log_rejection(Policy::Rejection const& rejection) const
{
    auto const to_milliseconds
        = [](Policy::FractionalMilliseconds time) { return std::chrono::duration_cast<Core::Milliseconds>(time); };
    m_context.log.write(Observe::LogEvent("not-admitted")
                            .add("request", m_request.id)
                            .add("service", m_request.service)
                            .add("class", m_request.request_class->name)
                            .add("priority", m_request.priority)
                            .add("reason", to_string(rejection.reason))
                            .add("predicted_wait_ms", m_choice.predicted_wait)
                            .add("probable_wait_ms", to_milliseconds(rejection.probable_wait))
                            .add("target_ms", m_request.request_class->first_token_target)
                            .add("retry_after_ms", rejection.retry_after)
                            .add("has_place", rejection.has_place)
                            .add("workspace", m_request.workspace)
                            .add("beyond_share", rejection.admission_class.standing == Policy::ShareStanding::Beyond)
                            .add("returning", rejection.admission_class.arrival == Policy::Arrival::Returning)
                            .add("unread_tokens", m_choice.unread_tokens)
                            .add("unread_before", m_choice.server->load().unread_tokens)
                            .add("open", m_choice.server->load().open));
}

std::set<std::string> RequestForwarder::excluded_servers() const
{
    auto servers = m_tried_servers;
    servers.insert(m_unreachable_servers.begin(), m_unreachable_servers.end());
    // A request that waited for a silent server gains nothing at another one.
    if (m_was_stalled)
        m_context.fleet.add_silent_servers(servers);
    return servers;
}

void RequestForwarder::hold(Core::MonotonicTime now)
{
    // Regions and drains do not change while a request waits, so waiting would be in vain.
    switch (m_context.fleet.unavailability(m_request)) {
    case Unavailability::Regions:
        return fail(Status::s_bad_gateway, "region", "no region that may serve this request has backend servers");
    case Unavailability::Drains:
        return fail(Status::s_bad_gateway, "drained", "all failure domains that could serve this request are drained");
    case Unavailability::Servers:
        break;
    }
    // A request that was sent before does not wait for another server.
    bool const has_been_sent = !m_tried_servers.empty();
    // Servers that did not accept a connection may do so at the next dispatch.
    m_unreachable_servers.clear();
    if (!m_held_since)
        m_held_since = now;
    auto const target = m_request.request_class->first_token_target;
    auto const limit = std::min(m_context.settings.hold_limit, target / 4);
    auto const earliest = m_context.fleet.earliest_send(m_request, now);
    bool const is_too_late = earliest && Core::elapsed(*m_held_since, earliest->here) > limit;
    if (!has_been_sent && !is_too_late && Core::elapsed(*m_held_since, now) < limit)
        return;
    if (earliest)
        return fail(Status::s_bad_gateway, "servers_limited", "no backend server accepts requests before that time",
            retry_delay(*earliest, now));
    fail(Status::s_bad_gateway, "no_backend_server", "no backend server of the service is reachable");
}

Core::Milliseconds RequestForwarder::retry_delay(EarliestSend const& earliest, Core::MonotonicTime now) const
{
    return Policy::spread_retry_after(Core::elapsed(now, earliest.anywhere), m_request.priority, request_fraction());
}

void RequestForwarder::send_to(Choice const& choice, Core::MonotonicTime now)
{
    m_choice = choice;
    // The first attempt may have failed because of the engine to fetch from, so a retry uses no other engine.
    if (m_send_count > 0)
        m_choice.cancel_fetch();
    auto const rule = m_request.head.method == "HEAD" ? HTTP::BodyRule::None : HTTP::BodyRule::Normal;
    m_attempt = std::make_shared<BackendAttempt>(m_context.loop, m_choice.server, rule, *this);
    m_attempt->load() = {1, m_choice.unread_tokens, m_choice.is_pause_sensitive ? 1U : 0U};
    m_choice.server->begin_attempt(m_attempt->load());
    m_context.fleet.note_sent(*m_choice.server, now);
    m_choice.server->prefixes().note_prefill(m_request.prompt);
    m_context.load.note_placement(*m_choice.server, shared_parts(m_request), own_tokens(m_request));
    m_attempt->start(now);
    m_context.log.write(Observe::LogEvent("dispatch")
                            .add("request", m_request.id)
                            .add("server", m_choice.server->record().instance)
                            .add("version", m_choice.server->record().software_version)
                            .add("resumes", m_request.head.fields.value_or(m_context.dialect.resumes, ""))
                            .add("last_event", m_events.last_id().value_or(0))
                            .add("parts", absl::StrJoin(shared_part_ids(m_request, m_context.dialect), ","))
                            .add("service", m_request.service)
                            .add("class", m_request.request_class->name)
                            .add("workspace", m_request.workspace)
                            .add("tier", m_request.tier)
                            .add("priority", m_request.priority)
                            .add("send", m_send_count + 1)
                            .add("candidates", m_choice.candidates)
                            .add("predicted_wait_ms", m_choice.predicted_wait)
                            .add("unread_tokens", m_choice.unread_tokens)
                            .add("moved_tokens", m_choice.moved_tokens)
                            .add("source", m_choice.source ? m_choice.source->record().instance : std::string())
                            .add("expected_loss_permille", static_cast<std::int64_t>(m_choice.expected_loss * 1'000))
                            .add("open", m_choice.server->load().open)
                            .add("pause_sensitive", m_choice.is_pause_sensitive)
                            .add("sensitive_streams", m_choice.server->load().pause_sensitive)
                            .add("remaining_ms", Core::elapsed(now, m_request.deadline))
                            .add("table", m_request.table->version().value())
                            .add("servers", m_context.fleet.list_revision().value()),
        m_send_count == 0 ? Observe::LogWeight::Ordinary : Observe::LogWeight::Notable);
}

std::string RequestForwarder::serialize_head(BackendView const& server, Core::MonotonicTime now) const
{
    auto const& dialect = m_context.dialect;
    auto const& head = m_request.head;
    // Fields that the gateway sets itself, and the caller's key, which must not reach a backend server.
    std::array<std::string_view, 7> const replaced_fields {"Authorization", "Content-Length", "Expect",
        dialect.remaining_time, dialect.expected_instance, dialect.workspace, dialect.priority};
    // Callers must not control engines: an engine rejects a request that refers to a lease or copy that it does not
    // have.
    auto const is_dropped = [&](std::string_view field) {
        auto const has_name = [field](std::string_view name) { return HTTP::is_same_name(name, field); };
        return std::ranges::any_of(replaced_fields, has_name)
            || std::ranges::any_of(dialect.engine_control_fields, has_name);
    };
    auto const connection = head.fields.value_or("Connection", "");
    bool const is_resumed = m_first_event_at.has_value();
    auto text = Core::concat(head.method, " ", head.target, " HTTP/1.1\r\n");
    for (auto const& field : head.fields.all()) {
        if (is_dropped(field.name) || HTTP::is_connection_field(field.name, connection))
            continue;
        if (is_resumed && HTTP::is_same_name(field.name, dialect.last_event_id))
            continue;
        Core::append(&text, field.name, ": ", field.value, "\r\n");
    }
    auto const remaining = std::max<std::int64_t>(1, Core::elapsed(now, m_request.deadline).count());
    Core::append(&text, dialect.remaining_time, ": ", remaining, "\r\n");
    Core::append(&text, dialect.expected_instance, ": ", server.record().instance, "\r\n");
    if (!m_request.workspace.empty())
        Core::append(&text, dialect.workspace, ": ", m_request.workspace, "\r\n");
    if (!m_request.prompt.empty())
        Core::append(&text, dialect.priority, ": ", m_request.priority, "\r\n");
    if (m_choice.source != nullptr && !dialect.prompt_source.empty())
        Core::append(&text, dialect.prompt_source, ": ", m_choice.source->record().address.to_string(), "\r\n");
    if (is_resumed && m_events.last_id())
        Core::append(&text, dialect.last_event_id, ": ", *m_events.last_id(), "\r\n");
    bool const has_body
        = head.fields.find("Content-Length") != nullptr || head.fields.find("Transfer-Encoding") != nullptr;
    if (has_body)
        Core::append(&text, "Content-Length: ", m_request.body.size(), "\r\n");
    text += "Connection: close\r\n\r\n";
    return text;
}

bool RequestForwarder::may_be_sent_again() const
{
    if (m_send_count + 1 >= m_request.route->tries)
        return false;
    // A server that answers with success has run the request.
    bool const has_run = m_attempt->head_received_at() && Status::is_success(m_attempt->parser().head().status);
    return m_request.is_repeatable() || !has_run;
}

void RequestForwarder::release_unneeded_body()
{
    bool const is_large = m_request.body.size() >= s_min_released_body;
    if (!is_large || may_be_sent_again())
        return;
    static_cast<void>(m_request.digest());
    m_request.body.release();
}

RequestForwarder::AttemptResult RequestForwarder::result_of_error(Core::MonotonicTime now) const
{
    return m_attempt->server().backoff().is_in_force(now) ? AttemptResult::Rejected : AttemptResult::Failure;
}

void RequestForwarder::end_attempt(AttemptResult result, Core::MonotonicTime now)
{
    auto const attempt = std::exchange(m_attempt, nullptr);
    m_framing = framing_of(*attempt);
    m_is_forwarding_body = false;
    auto& server = attempt->server();
    switch (result) {
    case AttemptResult::Success:
        if (server.note_success(now))
            m_context.load.note_answering(server);
        server.note_latency(now - attempt->started_at());
        break;
    case AttemptResult::Failure:
        server.note_failure(now);
        break;
    case AttemptResult::Rejected:
        break;
    }
    ++m_send_count;
    attempt->cancel();
    // Keeps the attempt alive until the current call returns, since the caller of this function may still read its
    // response.
    boost::asio::post(m_context.loop, [attempt] {});
}

void RequestForwarder::count_usage(Core::MonotonicTime started_at)
{
    if (m_context.usage == nullptr || m_request.workspace.empty() || std::exchange(*m_is_usage_counted, true))
        return;
    m_context.usage->count(m_request.workspace, started_at);
}

void RequestForwarder::count_unanswered_attempt()
{
    if (m_attempt && m_attempt->is_sent() && !m_request.is_stream())
        count_usage(m_attempt->started_at());
}

void RequestForwarder::note_abandoned_attempt(AbandonReason reason, Core::MonotonicTime now)
{
    if (!m_attempt || !m_attempt->is_sent() || m_attempt->head_received_at())
        return;
    m_context.metrics.note_unanswered();
    m_context.log.write(Observe::LogEvent("unanswered")
                            .add("request", m_request.id)
                            .add("server", m_attempt->server().record().instance)
                            .add("send", m_send_count + 1)
                            .add("sent_ms_ago", Core::elapsed(m_attempt->started_at(), now)));
    if (reason == AbandonReason::Silence)
        m_attempt->server().note_unanswered(m_attempt->started_at());
    if (!m_charges.empty())
        m_context.unread_sends.add(m_attempt->server().record().address, m_attempt->started_at(), m_charges);
}

std::optional<BackendAttempt::OutgoingRequest> RequestForwarder::handle_connected(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    m_context.apply_server_list();
    if (now >= m_request.deadline) {
        handle_deadline(now);
        return std::nullopt;
    }
    if (may_send_attempt(now))
        return BackendAttempt::OutgoingRequest {serialize_head(attempt.server(), now), m_request.body};
    withdraw_attempt(now);
    return std::nullopt;
}

bool RequestForwarder::may_send_attempt(Core::MonotonicTime now) const
{
    auto const& server = m_attempt->server();
    return server.accepts_new_requests() && !server.backoff().is_in_force(now);
}

void RequestForwarder::withdraw_attempt(Core::MonotonicTime now)
{
    m_context.metrics.note_withdrawn();
    m_context.log.write(Observe::LogEvent("withdrawn")
                            .add("request", m_request.id)
                            .add("server", m_attempt->server().record().instance)
                            .add("connect_ms", Core::elapsed(m_attempt->started_at(), now))
                            .add("servers", m_context.fleet.list_revision().value()));
    drop_unsent_attempt();
    m_was_withdrawn = true;
    dispatch(now);
}

void RequestForwarder::handle_failure(
    BackendAttempt& attempt, BackendAttempt::Failure failure, std::string const& reason)
{
    auto const now = Core::monotonic_now();
    if (failure == BackendAttempt::Failure::Broken) {
        m_context.load.note_broken(attempt.server());
        return handle_broken_attempt(reason, now);
    }
    attempt.server().note_unreachable(m_context.entry_count, now);
    m_context.load.note_unreachable(attempt.server());
    m_context.metrics.note_unreachable();
    m_unreachable_servers.insert(attempt.server().record().instance);
    m_attempt.reset();
    m_context.log.write(Observe::LogEvent("unreachable")
                            .add("request", m_request.id)
                            .add("server", m_choice.server->record().instance)
                            .add("reason", reason));
    if (++m_failed_connects >= m_context.settings.max_connects)
        return fail(Status::s_bad_gateway, "unreachable", "no backend server accepted a connection");
    dispatch(now);
}

void RequestForwarder::handle_not_run(Core::MonotonicTime now)
{
    auto const status = m_attempt->parser().head().status;
    auto const retry_after = std::string(m_attempt->parser().head().fields.value_or("Retry-After", ""));
    m_tried_servers.insert(m_attempt->server().record().instance);
    if (status == Status::s_misdirected)
        m_context.crashes.note_replaced(m_attempt->server(), now);
    end_attempt(result_of_error(now), now);
    m_context.log.write(Observe::LogEvent("refused-by-server")
                            .add("request", m_request.id)
                            .add("server", m_choice.server->record().instance)
                            .add("status", status)
                            .add("retry_after", retry_after));
    if (may_retry(now))
        return retry("the backend server did not run the request", now);
    if (m_has_started_response)
        return abort_response("no backend server resumed the stream");
    auto const earliest = m_context.fleet.earliest_send(m_request, now);
    fail(Status::s_bad_gateway, "refused", "the backend server did not accept the request",
        earliest ? std::optional(retry_delay(*earliest, now)) : std::nullopt);
}

void RequestForwarder::handle_broken_attempt(std::string const& reason, Core::MonotonicTime now)
{
    m_may_have_run = true;
    m_charges.clear();
    m_tried_servers.insert(m_attempt->server().record().instance);
    auto const head_received_at = m_attempt->head_received_at();
    auto const framing = framing_of(*m_attempt);
    auto const sent = m_attempt->started_at();
    count_unanswered_attempt();
    m_context.crashes.note_broken_answer(
        m_attempt->server(), crash_identity(m_request, m_context.dialect), exposure(now), now);
    if (m_context.usage != nullptr && m_request.is_stream() && !*m_is_usage_counted && !m_request.workspace.empty())
        m_context.unconfirmed_runs.add(m_choice.server, m_request.workspace, m_is_usage_counted, now);
    end_attempt(AttemptResult::Failure, now);
    drop_buffered_response();
    m_context.log.write(
        Observe::LogEvent("broken")
            .add("request", m_request.id)
            .add("server", m_choice.server->record().instance)
            .add("digest", m_request.digest().to_string())
            .add("send", m_send_count)
            .add("has_begun", m_has_started_response)
            .add("sent_ms_ago", Core::elapsed(sent, now))
            .add("head_ms_ago", head_received_at ? Core::elapsed(*head_received_at, now) : Core::Milliseconds(-1))
            .add("framing", framing)
            .add("reason", reason));
    bool const can_continue
        = !m_has_started_response || (m_request.is_stream() && (m_events.last_id() || !m_first_event_at));
    if (m_request.is_repeatable() && can_continue && may_retry(now)) {
        m_events.drop_partial_event();
        return retry(reason, now);
    }
    if (m_has_started_response)
        return abort_response(reason);
    fail(Status::s_bad_gateway, "broken", "the response of the backend server was incomplete or invalid");
}

Policy::Exposure RequestForwarder::exposure(Core::MonotonicTime now) const
{
    auto const head_received_at = m_attempt->head_received_at();
    // A non-streaming response arrives only at the end of the run, so the send counts as its start.
    auto const started_at = head_received_at || m_request.is_stream() ? head_received_at : m_attempt->started_at();
    bool const has_just_started
        = started_at && Core::elapsed(*started_at, now) <= m_context.settings.recent_start_limit;
    return has_just_started ? Policy::Exposure::Fresh : Policy::Exposure::Weak;
}

bool RequestForwarder::may_retry(Core::MonotonicTime now)
{
    // The current attempt is added to m_send_count when it ends.
    auto const sends = m_send_count + (m_attempt ? 1 : 0);
    if (sends >= m_request.route->tries || now >= m_request.deadline || m_request.body.is_released())
        return false;
    // Retries of a request that crashes servers would exhaust the retry budget for other requests that ran on the same
    // servers.
    auto const& ledger = m_context.crashes.ledger();
    if (!ledger.is_empty()
        && ledger.count_crash_moments(crash_identity(m_request, m_context.dialect))
            >= m_context.settings.max_crash_moments_for_retry)
        return false;
    if (auto const charge = m_context.budget_of(m_request.service).try_spend(now)) {
        m_charges.push_back(*charge);
        return true;
    }
    m_context.metrics.note_denied_retry();
    return false;
}

void RequestForwarder::retry(std::string_view why, Core::MonotonicTime now)
{
    m_context.metrics.note_retry();
    m_context.log.write(Observe::LogEvent("retry")
                            .add("request", m_request.id)
                            .add("why", why)
                            .add("sends", m_send_count)
                            .add("budget", m_context.budget_of(m_request.service).balance())
                            .add("unsettled", m_context.budget_of(m_request.service).unsettled()));
    drop_buffered_response();
    dispatch(now);
}

void RequestForwarder::tick(Core::MonotonicTime now)
{
    if (m_is_over)
        return;
    if (now >= m_request.deadline)
        return handle_deadline(now);
    if (!m_attempt)
        return dispatch(now);
    if (is_quarantined(now) && !has_long_running_attempt(now))
        return reject_quarantined_attempt();
    if (!m_attempt->is_sent() && !may_send_attempt(now))
        return withdraw_attempt(now);
    if (!m_attempt->is_sent() && Core::elapsed(m_attempt->started_at(), now) > m_context.settings.connect_limit) {
        auto const attempt = m_attempt;
        attempt->cancel();
        return handle_failure(*attempt, BackendAttempt::Failure::NotSent, "connect timed out");
    }
    // Another server can't continue a body of which a part was forwarded.
    if (m_request.is_repeatable() && m_attempt->is_sent() && !m_is_forwarding_body && is_stalled(now))
        return replace_stalled_attempt(now);
    if (m_attempt->is_paused() && m_caller->pending_bytes() <= caller_window() / 2)
        m_attempt->resume();
}

void RequestForwarder::note_process_stall(Core::MonotonicTime now)
{
    if (!m_attempt)
        return;
    m_attempt->restart_silence_timer(now);
    // Events that arrived during the stall are no proof that the server still runs.
    if (m_attempt->first_event_at())
        m_attempt->set_first_event_at(now);
}

bool RequestForwarder::is_stalled(Core::MonotonicTime now) const
{
    auto const last_received_at = m_attempt->last_received_at();
    if (Core::elapsed(last_received_at, now) > stall_limit())
        return true;
    auto const suspected = m_attempt->server().suspected_since();
    return suspected && last_received_at < *suspected
        && Core::elapsed(*suspected, now) > m_context.settings.stall_limit_if_suspected;
}

Core::Milliseconds RequestForwarder::stall_limit() const
{
    auto const& settings = m_context.settings;
    auto const& request_class = *m_request.request_class;
    auto const scaled = [](Core::Milliseconds duration, double factor) {
        return std::chrono::duration_cast<Core::Milliseconds>(duration * factor);
    };
    bool const has_response_head = m_attempt->head_received_at().has_value();
    if (m_request.is_stream() && has_response_head)
        return std::max(settings.stall_min_pause, scaled(request_class.token_gap_target, settings.stall_pause_factor));
    auto const factor = m_request.is_stream() ? settings.stall_first_event_factor : settings.stall_factor;
    auto const target_share
        = m_request.is_stream() ? settings.stall_first_event_min_target_share : settings.stall_min_target_share;
    return std::max(scaled(m_choice.predicted_wait, factor), scaled(request_class.first_token_target, target_share));
}

void RequestForwarder::replace_stalled_attempt(Core::MonotonicTime now)
{
    auto const silence = Core::elapsed(m_attempt->last_received_at(), now);
    bool const is_paused_for_caller = m_attempt->is_paused();
    auto const server = m_attempt->server().record().instance;
    m_was_stalled = true;
    auto excluded = excluded_servers();
    excluded.insert(server);
    bool const has_alternative = m_context.fleet.choose(m_request, excluded, now).server != nullptr;
    if (is_paused_for_caller || !has_alternative || !may_retry(now))
        return;
    m_context.log.write(Observe::LogEvent("stalled")
                            .add("request", m_request.id)
                            .add("server", m_attempt->server().record().instance)
                            .add("silent_ms", silence)
                            .add("predicted_wait_ms", m_choice.predicted_wait)
                            .add("has_begun", m_has_started_response));
    m_may_have_run = true;
    m_tried_servers.insert(server);
    count_unanswered_attempt();
    note_abandoned_attempt(AbandonReason::Silence, now);
    end_attempt(AttemptResult::Failure, now);
    m_events.drop_partial_event();
    retry("the backend server stopped responding", now);
}

void RequestForwarder::handle_deadline(Core::MonotonicTime now)
{
    if (m_attempt && m_attempt->is_sent()) {
        m_may_have_run = true;
        count_unanswered_attempt();
        note_abandoned_attempt(AbandonReason::Silence, now);
        end_attempt(m_first_event_at ? AttemptResult::Success : AttemptResult::Failure, now);
    }
    drop_unsent_attempt();
    if (m_has_started_response)
        return abort_response("the time limit was exceeded");
    fail(Status::s_gateway_timeout, "time_limit", "the request's time limit was exceeded");
}

void RequestForwarder::drop_unsent_attempt()
{
    // A connection that is established later must not send a request that has been answered as not run.
    if (m_attempt)
        m_attempt->cancel();
    m_attempt.reset();
}

void RequestForwarder::handle_caller_disconnect()
{
    if (m_is_over)
        return;
    m_context.metrics.note_cancelled();
    count_unanswered_attempt();
    note_abandoned_attempt(AbandonReason::Unwanted, Core::monotonic_now());
    if (m_attempt)
        m_attempt->cancel();
    finish(
        m_may_have_run || m_send_count > 0 || (m_attempt && m_attempt->is_sent()) ? Outcome::Unknown : Outcome::NotRun,
        0, "caller_gone");
}

void RequestForwarder::abandon()
{
    if (m_is_over)
        return;
    if (m_attempt) {
        m_may_have_run = m_may_have_run || m_attempt->is_sent();
        note_abandoned_attempt(AbandonReason::Unwanted, Core::monotonic_now());
        m_attempt->cancel();
    }
    if (m_has_started_response)
        return abort_response("stopping");
    fail(Status::s_bad_gateway, "stopping", "this gateway is stopping");
}

void RequestForwarder::fail(
    int status_if_may_have_run, std::string code, std::string message, std::optional<Core::Milliseconds> retry_after)
{
    if (m_has_started_response)
        return abort_response(code);
    Entry::ErrorAnswer error;
    error.status = m_may_have_run ? status_if_may_have_run : Status::s_unavailable;
    error.outcome = m_may_have_run ? Outcome::Unknown : Outcome::NotRun;
    error.code = std::move(code);
    error.message = std::move(message);
    error.retry_after = retry_after.value_or(m_context.settings.retry_after);
    send_error_response(*m_caller, error, m_request.id, m_context.dialect);
    finish(error.outcome, error.status, error.code);
}

void RequestForwarder::abort_response(std::string_view reason)
{
    finish(Outcome::Cut, 0, reason);
    m_caller->abort_response();
}

void RequestForwarder::finish(Outcome outcome, int status, std::string_view reason)
{
    if (m_is_over)
        return;
    m_is_over = true;
    m_charges.clear();
    m_caller->set_on_disconnect(nullptr);
    log_end(outcome, status, reason);
    m_request.body.release();
    drop_buffered_response();
}

void RequestForwarder::log_end(Outcome outcome, int status, std::string_view reason)
{
    auto const now = Core::monotonic_now();
    auto const total = now - m_request.received;
    bool const is_ordinary = outcome == Outcome::Done && Status::is_success(status) && m_send_count <= 1;
    // Metric labels come from a fixed set; reasons from outside the code are not bounded.
    m_context.metrics.note_end(m_request.tier, outcome, outcome == Outcome::Cut ? "cut" : std::string(reason));
    if (outcome == Outcome::Done)
        m_context.metrics.note_answer_duration(m_request.tier, std::chrono::duration_cast<Core::Microseconds>(total));
    m_context.log.write(
        Observe::LogEvent("request-end")
            .add("request", m_request.id)
            .add("digest", is_ordinary ? std::string() : m_request.digest().to_string())
            .add("outcome", to_string(outcome))
            .add("status", status)
            .add("reason", reason)
            .add("route", m_request.route->name)
            .add("class", m_request.request_class->name)
            .add("workspace", m_request.workspace)
            .add("sends", m_send_count)
            .add("server", m_choice.server ? m_choice.server->record().instance : std::string())
            .add("first_ms",
                m_first_event_at ? Core::elapsed(m_request.received, *m_first_event_at) : Core::Milliseconds(-1))
            .add("target_ms", m_request.request_class->first_token_target)
            .add("total_ms", std::chrono::duration_cast<Core::Milliseconds>(total))
            .add("longest_pause_ms", m_longest_pause)
            .add("pause_target_ms", m_request.request_class->token_gap_target)
            .add("table", m_request.table->version().value())
            .add("framing", m_framing),
        is_ordinary ? Observe::LogWeight::Ordinary : Observe::LogWeight::Notable);
}

}
