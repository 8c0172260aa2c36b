// The part of a run that takes answers: whose they are, what the caller gets of them, and when they are whole.
#include <LibGateway/RequestForwarder.h>

#include <LibHTTP/Status.h>

#include <algorithm>

namespace GraniteField::Gateway {

using Entry::Outcome;
namespace Status = HTTP::Status;

bool RequestForwarder::is_answer_to_this(HTTP::AnswerHead const& head) const
{
    return head.fields.value_or(m_context.dialect.request_id, m_request.id) == m_request.id;
}

void RequestForwarder::handle_response_head(BackendAttempt& attempt)
{
    auto const& head = attempt.parser().head();
    // 421 is sent by another server that now has the address; its statements do not concern this one.
    if (head.status == Status::s_misdirected || !is_answer_to_this(head))
        return;
    m_context.fleet.note_signals(
        attempt.server(), read_signals(head, m_context.dialect), attempt.started_at(), Core::monotonic_now());
}

bool RequestForwarder::is_answer_sound(HTTP::AnswerHead const& head, std::string& problem) const
{
    if (!is_answer_to_this(head)) {
        problem = "the answer names another request";
        return false;
    }
    if (!Status::is_success(head.status))
        return true;
    if (head.fields.find(m_context.dialect.answer_signature) == nullptr)
        problem = "the answer has no signature";
    else if (head.fields.find("Content-Encoding") != nullptr)
        problem = "the answer's body is encoded";
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
    if (!is_answer_sound(head, problem)) {
        attempt.cancel();
        return handle_broken(problem, now);
    }
    if (m_request.is_stream() && Status::is_success(head.status))
        return take_stream(attempt);
    if (m_has_begun_answer) {
        // A stream that should go on met a failure instead.
        attempt.cancel();
        return handle_broken("the stream was not taken up", now);
    }
    take_whole(attempt);
}

void RequestForwarder::take_stream(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    auto events = m_events.add(attempt.parser().take_body());
    if (!m_has_begun_answer)
        begin_answer(attempt.parser().head());
    if (!events.empty()) {
        auto const tier = m_request.tier;
        if (attempt.server().note_alive())
            m_context.load.note_answering(attempt.server());
        if (!m_first_event) {
            m_first_event = now;
            m_context.admission.note_wait(
                m_request.service, m_request.request_class->name, m_choice.predicted_wait, now - attempt.started_at());
            m_context.metrics.note_first_byte(
                tier, std::chrono::duration_cast<Core::Microseconds>(now - m_request.received));
        }
        if (m_last_event) {
            auto const pause = now - *m_last_event;
            m_longest_pause = std::max(m_longest_pause, std::chrono::duration_cast<Core::Milliseconds>(pause));
            m_context.metrics.note_pause(tier, std::chrono::duration_cast<Core::Microseconds>(pause));
            m_context.fleet.note_pause(m_request.service, attempt.server(), pause);
        }
        m_last_event = now;
        note_running(now);
        if (attempt.load().unread_tokens > 0) {
            m_context.fleet.note_first_event(
                m_request.service, attempt.load().unread_tokens, Core::elapsed(attempt.started_at(), now));
            attempt.server().note_read(attempt.load());
        }
        auto const untaken = m_caller->pending_bytes();
        m_caller->append(events);
        // Counted anew with each tick; much may come between two.
        m_context.held_bytes += std::max(untaken, m_caller->pending_bytes()) - untaken;
        if (m_is_over)
            return;
    }
    if (attempt.parser().is_complete()) {
        if (m_events.has_partial_event()) {
            attempt.cancel();
            return handle_broken("the stream ended within an event", now);
        }
        end_attempt(AttemptResult::Success, now);
        note_good_end(now);
        m_caller->finish_response();
        return finish(Outcome::Done, attempt.parser().head().status, "answered");
    }
    hold_back_reading(attempt);
}

void RequestForwarder::hold_back_reading(BackendAttempt& attempt) const
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

void RequestForwarder::take_whole(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    m_kept_answer += attempt.parser().take_body();
    if (attempt.parser().is_complete())
        return give_whole_answer(attempt);
    auto const most_kept = m_context.is_short_of_memory() ? caller_window() : m_context.settings.max_buffered_response;
    if (m_kept_answer.size() <= most_kept && !m_has_begun_answer)
        return;
    if (!m_has_begun_answer) {
        begin_answer(attempt.parser().head());
        m_context.metrics.note_first_byte(
            m_request.tier, std::chrono::duration_cast<Core::Microseconds>(now - m_request.received));
    }
    m_caller->append(std::exchange(m_kept_answer, {}));
    if (!m_is_over)
        hold_back_reading(attempt);
}

void RequestForwarder::note_good_end(Core::MonotonicTime now)
{
    m_context.crashes.ledger().note_good_end(m_request.digest(), now);
}

bool RequestForwarder::must_hide(HTTP::AnswerHead const& head) const
{
    // Without its mark nobody knows that the request did not run, and the status would promise it.
    return Status::promises_not_run(head.status) && !m_request.is_repeatable();
}

void RequestForwarder::give_whole_answer(BackendAttempt& attempt)
{
    auto const now = Core::monotonic_now();
    auto const& head = attempt.parser().head();
    bool const is_server_error = head.status >= Status::s_first_server_error;
    note_running(m_request.is_stream() ? now : attempt.started_at());
    note_good_end(now);
    if (is_server_error && m_request.is_repeatable() && !m_has_begun_answer && may_try_again(now)) {
        m_tried.insert(attempt.server().record().instance);
        end_attempt(result_of_error(now), now);
        return try_again("the backend server answered with an error", now);
    }
    end_attempt(is_server_error ? result_of_error(now) : AttemptResult::Success, now);
    if (must_hide(head)) {
        m_may_have_run = true;
        return fail(
            Status::s_bad_gateway, "refused_unmarked", "the backend server refused without saying that it did not run");
    }
    if (m_has_begun_answer) {
        m_caller->append(m_kept_answer);
        m_caller->finish_response();
    } else {
        m_context.metrics.note_first_byte(
            m_request.tier, std::chrono::duration_cast<Core::Microseconds>(now - m_request.received));
        m_caller->send_response(head.status, handed_on(head), m_kept_answer);
    }
    finish(Outcome::Done, head.status, "answered");
}

HTTP::FieldList RequestForwarder::handed_on(HTTP::AnswerHead const& head) const
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

void RequestForwarder::begin_answer(HTTP::AnswerHead const& head)
{
    m_has_begun_answer = true;
    m_caller->start_response(head.status, handed_on(head));
}

}
