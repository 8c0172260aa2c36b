// Response handling of RequestForwarder: validates, buffers and forwards responses of backend servers.
#include <LibGateway/RequestForwarder.h>

#include <LibHTTP/Status.h>

#include <algorithm>

namespace GraniteField::Gateway {

using Entry::Outcome;
namespace Status = HTTP::Status;

bool RequestForwarder::is_response_to_request(HTTP::AnswerHead const& head) const
{
    return head.fields.value_or(m_context.dialect.request_id, m_request.id) == m_request.id;
}

void RequestForwarder::handle_response_head(BackendAttempt& attempt)
{
    auto const& head = attempt.parser().head();
    release_unneeded_body();
    m_charges.clear();
    m_context.unread_sends.note_answered(attempt.server().record().address, attempt.started_at());
    // A 421 comes from another server that now has this address, so its signals do not apply to the chosen server.
    if (head.status == Status::s_misdirected || !is_response_to_request(head))
        return;
    m_context.fleet.note_signals(
        attempt.server(), read_signals(head, m_context.dialect), attempt.started_at(), Core::monotonic_now());
}

bool RequestForwarder::is_valid_response(HTTP::AnswerHead const& head, std::string& problem) const
{
    if (!is_response_to_request(head)) {
        problem = "the response belongs to another request";
        return false;
    }
    if (!Status::is_success(head.status))
        return true;
    if (head.fields.find(m_context.dialect.answer_signature) == nullptr)
        problem = "the response has no signature";
    else if (head.fields.find("Content-Encoding") != nullptr)
        problem = "the response body has a content encoding";
    return problem.empty();
}

void RequestForwarder::handle_response(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    auto const& head = attempt.parser().head();
    bool const did_not_run = head.status == Status::s_misdirected
        || (head.fields.find(m_context.dialect.not_run) != nullptr && Status::promises_not_run(head.status));
    if (did_not_run)
        return handle_not_run(now);
    std::string problem;
    if (!is_valid_response(head, problem)) {
        attempt.cancel();
        return handle_broken_attempt(problem, now);
    }
    if (m_request.is_stream() && Status::is_success(head.status))
        return forward_stream(attempt);
    if (m_has_started_response && !m_is_forwarding_body) {
        // A resumed stream must be answered by another stream.
        attempt.cancel();
        return handle_broken_attempt("the backend server did not resume the stream", now);
    }
    forward_response(attempt);
}

void RequestForwarder::note_event_version(BackendView const& server)
{
    auto const& record = server.record();
    if (!m_request.stream_version)
        m_request.stream_version = record.software_version;
    if (!m_first_event_at && m_request.is_repeatable()) {
        m_context.streams.note_begun(stream_key(m_request.workspace, m_request.id),
            {m_request.service, *m_request.stream_version}, Core::monotonic_now());
        // Other gateways must know the stream before its caller can resume it.
        m_context.load.send_stream_messages();
    }
    if (*m_request.stream_version == record.software_version)
        return;
    m_context.metrics.note_mixed_stream();
    m_context.log.write(Observe::LogEvent("mixed-stream")
                            .add("request", m_request.id)
                            .add("began_at", *m_request.stream_version)
                            .add("server", record.instance)
                            .add("version", record.software_version));
}

void RequestForwarder::forward_stream(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    auto events = m_events.add(attempt.parser().take_body());
    update_response_charge();
    if (m_events.has_oversized_event()) {
        attempt.cancel();
        return handle_broken_attempt("the stream has an event without an end", now);
    }
    if (!m_has_started_response)
        start_response(attempt.parser().head());
    if (!events.empty()) {
        auto const tier = m_request.tier;
        note_event_version(attempt.server());
        note_progress(attempt, now);
        if (attempt.server().note_alive())
            m_context.load.note_answering(attempt.server());
        if (!m_first_event_at) {
            m_first_event_at = now;
            m_context.admission.note_wait(m_request.service, m_request.request_class->name, m_choice.predicted_wait,
                now - attempt.started_at(), now);
            m_context.metrics.note_first_byte(
                tier, std::chrono::duration_cast<Core::Microseconds>(now - m_request.received));
        }
        if (m_last_event_at) {
            auto const pause = now - *m_last_event_at;
            m_longest_pause = std::max(m_longest_pause, std::chrono::duration_cast<Core::Milliseconds>(pause));
            m_context.metrics.note_pause(tier, std::chrono::duration_cast<Core::Microseconds>(pause));
            m_context.fleet.note_pause(m_request.service, attempt.server(), pause);
        }
        m_last_event_at = now;
        count_usage(now);
        if (attempt.load().unread_tokens > 0) {
            m_context.fleet.note_first_event(
                m_request.service, attempt.load().unread_tokens, Core::elapsed(attempt.started_at(), now));
            attempt.server().note_read(attempt.load());
        }
        m_caller->append(events);
        if (m_is_over)
            return;
    }
    if (attempt.parser().is_complete()) {
        if (m_events.has_partial_event()) {
            attempt.cancel();
            return handle_broken_attempt("the stream ended in the middle of an event", now);
        }
        note_completed(now);
        end_attempt(AttemptResult::Success, now);
        m_caller->finish_response();
        return finish(Outcome::Done, attempt.parser().head().status, "answered");
    }
    throttle_reading(attempt);
}

void RequestForwarder::throttle_reading(BackendAttempt& attempt) const
{
    if (m_context.is_short_of_memory())
        attempt.set_read_size(m_context.settings.reduced_caller_window / 2);
    if (m_caller->pending_bytes() > caller_window())
        attempt.pause();
}

std::size_t RequestForwarder::caller_window() const
{
    auto const& settings = m_context.settings;
    return m_context.is_short_of_memory() ? settings.reduced_caller_window : settings.caller_window;
}

void RequestForwarder::forward_response(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    m_buffered_response += attempt.parser().take_body();
    update_response_charge();
    if (attempt.parser().is_complete())
        return send_buffered_response(attempt);
    auto const buffer_limit
        = m_context.is_short_of_memory() ? caller_window() : m_context.settings.max_buffered_response;
    if (m_buffered_response.size() <= buffer_limit && !m_has_started_response)
        return;
    if (!m_has_started_response) {
        m_is_forwarding_body = true;
        start_response(attempt.parser().head());
        m_context.metrics.note_first_byte(
            m_request.tier, std::chrono::duration_cast<Core::Microseconds>(now - m_request.received));
    }
    m_caller->append(std::exchange(m_buffered_response, {}));
    update_response_charge();
    if (!m_is_over)
        throttle_reading(attempt);
}

void RequestForwarder::note_progress(BackendAttempt& attempt, Core::MonotonicTime now)
{
    if (!attempt.first_event_at())
        attempt.set_first_event_at(now);
    if (m_has_cleared_parts || Core::elapsed(*attempt.first_event_at(), now) < m_context.settings.part_proof_time)
        return;
    m_has_cleared_parts = true;
    m_context.crashes.ledger().note_progress(crash_identity(m_request, m_context.dialect), now);
}

void RequestForwarder::note_completed(Core::MonotonicTime now)
{
    auto const identity = crash_identity(m_request, m_context.dialect);
    if (m_attempt->parser().framing() == HTTP::Framing::ConnectionClose)
        return m_context.crashes.note_ended_answer(m_attempt->server(), identity, exposure(now), now);
    m_context.crashes.ledger().note_success(identity, now);
}

bool RequestForwarder::must_hide_response(HTTP::AnswerHead const& head) const
{
    // These statuses promise that the request did not run. Without the explicit field this is unproven for a request
    // that must not run twice.
    return Status::promises_not_run(head.status) && !m_request.is_repeatable();
}

void RequestForwarder::send_buffered_response(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    auto const& head = attempt.parser().head();
    bool const is_server_error = head.status >= Status::s_first_server_error;
    count_usage(m_request.is_stream() ? now : attempt.started_at());
    // A failing server answers any request with an error, also those that crash servers.
    if (!is_server_error)
        note_completed(now);
    if (is_server_error && m_request.is_repeatable() && !m_has_started_response && may_retry(now)) {
        m_tried_servers.insert(attempt.server().record().instance);
        end_attempt(result_of_error(now), now);
        return retry("the backend server responded with an error", now);
    }
    end_attempt(is_server_error ? result_of_error(now) : AttemptResult::Success, now);
    if (must_hide_response(head)) {
        m_may_have_run = true;
        return fail(Status::s_bad_gateway, "refused_unmarked",
            "the backend server refused without stating that the request did not run");
    }
    if (m_has_started_response) {
        m_caller->append(m_buffered_response);
        m_caller->finish_response();
    } else {
        m_context.metrics.note_first_byte(
            m_request.tier, std::chrono::duration_cast<Core::Microseconds>(now - m_request.received));
        m_caller->send_response(head.status, forwarded_fields(head), m_buffered_response);
    }
    finish(Outcome::Done, head.status, "answered");
}

void RequestForwarder::drop_buffered_response()
{
    m_buffered_response = {};
    update_response_charge();
}

void RequestForwarder::update_response_charge()
{
    m_response_charge.set(m_buffered_response.capacity() + m_events.held_bytes());
}

HTTP::FieldList RequestForwarder::forwarded_fields(HTTP::AnswerHead const& head) const
{
    HTTP::FieldList fields;
    auto const connection = head.fields.value_or("Connection", "");
    for (auto const& field : head.fields.all()) {
        bool const is_framing = HTTP::is_same_name(field.name, "Content-Length");
        if (!is_framing && !HTTP::is_connection_field(field.name, connection))
            fields.add(field.name, field.value);
    }
    return fields;
}

void RequestForwarder::start_response(HTTP::AnswerHead const& head)
{
    m_has_started_response = true;
    m_caller->start_response(head.status, forwarded_fields(head));
}

}
