// What SideAuthority does with the messages of entries.
#include <LibSide/SideAuthority.h>

#include <LibCore/Text.h>
#include <LibProtocol/ProtocolVersion.h>
#include <LibSide/AuthorityLimits.h>
#include <LibSide/Refusals.h>

#include <algorithm>

#include <glog/logging.h>

namespace GraniteField::Side {

using Protocol::Message::Envelope;
using Protocol::Message::RefusalReason;

namespace {

/// Classes whose newest row is kept.
constexpr std::size_t s_largest_row_count = 1'000;
constexpr Core::Milliseconds s_ticket_retry_after {1'000};

}

void SideAuthority::handle(Received const& received)
{
    if (received.is_malformed) {
        m_metrics.counter("granitefield_side_malformed_messages_total").add();
        LOG_EVERY_N(WARNING, 100) << s_log_prefix << "dropped a message that can't be read";
        return;
    }
    auto const& message = received.envelope;
    if (message.protocol_version() != Protocol::s_protocol_version) {
        m_metrics.counter("granitefield_side_version_refusals_total").add();
        auto reply = Protocol::make_envelope();
        reply.mutable_version_refused()->set_own_version(Protocol::s_protocol_version);
        m_links.send(received.route, reply);
        return;
    }
    auto const known = m_entries.find(received.route);
    if (known != m_entries.end())
        known->second.last_heard = Core::monotonic_now();
    switch (message.body_case()) {
    case Envelope::kHello:
        return handle_hello(received.route);
    case Envelope::kDispatch:
        return handle_dispatch(received.route, message.dispatch());
    case Envelope::kRevoke:
        return handle_revoke(received.route, message.revoke());
    case Envelope::kAcknowledge:
        return handle_acknowledge(message.acknowledge());
    case Envelope::kResume:
        return handle_resume(received.route, message.resume());
    case Envelope::kPing:
        return handle_ping(received.route, message.ping());
    default:
        m_metrics.counter("granitefield_side_malformed_messages_total").add();
    }
}

void SideAuthority::handle_hello(std::string const& route)
{
    auto& entry = m_entries[route];
    if (entry.session == 0)
        entry.session = ++m_sessions;
    entry.last_heard = Core::monotonic_now();
    // Whoever greets a process speaks with its present state in mind.
    entry.answered_challenge = m_challenge;
    auto reply = Protocol::make_envelope();
    auto& welcome = *reply.mutable_welcome();
    welcome.set_side_incarnation(m_incarnation.value());
    welcome.set_backend_server(m_settings.backend_server);
    welcome.set_service(m_settings.service);
    welcome.set_challenge(m_challenge);
    welcome.set_session(entry.session);
    fill_load(*welcome.mutable_load());
    m_links.send(route, reply);
}

bool SideAuthority::is_in_session(std::string const& route, std::uint64_t session) const
{
    auto const entry = m_entries.find(route);
    return entry != m_entries.end() && entry->second.session == session;
}

void SideAuthority::handle_ping(std::string const& route, Protocol::Message::Ping const& ping)
{
    auto const entry = m_entries.find(route);
    // An entry that takes this process for its predecessor learns at once that it is another.
    if (entry == m_entries.end())
        return handle_hello(route);
    entry->second.answered_challenge = ping.challenge();
    // An answer to a challenge needs none itself.
    if (!m_challenged_at)
        send_pong(route);
}

Protocol::Message::PolicyRow const& SideAuthority::newest_row(Protocol::Message::PolicyRow const& row)
{
    auto const found = m_rows.find(row.request_class());
    if (found == m_rows.end()) {
        if (m_rows.size() >= s_largest_row_count)
            return row;
        return m_rows.emplace(row.request_class(), row).first->second;
    }
    // An entry with an older table must not bring back an older row.
    if (row.table_version() > found->second.table_version())
        found->second = row;
    else if (row.table_version() < found->second.table_version())
        m_metrics.counter("granitefield_side_older_rows_total").add();
    return found->second;
}

Policy::Work SideAuthority::make_work(Protocol::Message::Dispatch const& dispatch, Core::MonotonicTime time)
{
    auto const& row = newest_row(dispatch.policy());
    Policy::Work work;
    work.key = Protocol::key_of(dispatch);
    work.tier = std::clamp(row.tier(), 1U, Policy::s_tier_count);
    work.request_class = row.request_class();
    work.class_weight = std::max(row.weight(), 1U);
    work.floor_percent = row.floor_percent();
    work.class_queue_limit = row.queue_limit();
    work.workspace = dispatch.workspace();
    work.workspace_weight = std::max(dispatch.workspace_weight(), 1U);
    work.target = time + Core::Milliseconds(row.first_token_target_ms()) - Core::Milliseconds(dispatch.waited_ms());
    work.start_deadline = time + Core::Milliseconds(dispatch.remaining_ms());
    work.should_refuse_late = row.should_refuse_late();
    work.is_repeatable = dispatch.is_repeatable();
    work.is_preemptible = m_settings.can_resume && dispatch.is_repeatable() && dispatch.is_stream();
    auto const prediction = m_predictor.predict(work.request_class, work.workspace);
    work.expected_service = prediction.service;
    work.expected_first_token = prediction.first_token;
    return work;
}

void SideAuthority::handle_dispatch(std::string const& route, Protocol::Message::Dispatch const& dispatch)
{
    auto const key = Protocol::key_of(dispatch);
    if (dispatch.side_incarnation() != m_incarnation.value() || !is_in_session(route, dispatch.session()))
        return refuse(route, key, RefusalReason::REFUSAL_REASON_OTHER_INCARNATION, Core::Milliseconds(0));
    if (m_tombstones.contains(key))
        return refuse(route, key, RefusalReason::REFUSAL_REASON_REVOKED, Core::Milliseconds(0));
    if (m_attempts.contains(key))
        return;
    // The ticket comes first: a refusal for any other reason says that the ticket's request has not run.
    if (!dispatch.ticket().empty() && !reserve_ticket(route, dispatch))
        return;
    if (m_is_draining || m_wants_drain) {
        release_ticket(dispatch);
        return refuse(route, key, RefusalReason::REFUSAL_REASON_DRAINING, s_draining_retry_after);
    }

    auto const time = Core::monotonic_now();
    auto offer = m_queue.visit([&](auto& queue) { return queue.offer(make_work(dispatch, time), time); });
    if (offer.refusal) {
        release_ticket(dispatch);
        return refuse(route, key, to_message(*offer.refusal), offer.retry_after);
    }
    auto& attempt = m_attempts.try_emplace(key, route, dispatch, time).first->second;
    if (!dispatch.ticket().empty())
        attempt.keep_answer(m_settings.tickets.largest_answer_bytes);
    auto reply = Protocol::make_envelope();
    Protocol::set_key(*reply.mutable_accepted(), key);
    fill_load(*reply.mutable_accepted()->mutable_load());
    m_links.send(route, reply);
    if (offer.displaced)
        end_unstarted(offer.displaced->key, RefusalReason::REFUSAL_REASON_DISPLACED, offer.retry_after);
}

bool SideAuthority::reserve_ticket(std::string const& route, Protocol::Message::Dispatch const& dispatch)
{
    auto const key = Protocol::key_of(dispatch);
    switch (m_tickets.reserve(dispatch.workspace(), dispatch.ticket(), uptime())) {
    case TicketBook::Verdict::Reserved:
        return true;
    case TicketBook::Verdict::Running:
        refuse(route, key, RefusalReason::REFUSAL_REASON_TICKET_RUNNING, s_ticket_retry_after);
        return false;
    case TicketBook::Verdict::Used:
        if (auto const answer = m_tickets.answer(dispatch.workspace(), dispatch.ticket()))
            replay_answer(route, dispatch, *answer);
        else
            refuse(route, key, RefusalReason::REFUSAL_REASON_TICKET_USED, Core::Milliseconds(0));
        return false;
    case TicketBook::Verdict::OtherIncarnation:
        refuse(route, key, RefusalReason::REFUSAL_REASON_OTHER_INCARNATION, Core::Milliseconds(0));
        return false;
    case TicketBook::Verdict::MemoryFull:
        refuse(route, key, RefusalReason::REFUSAL_REASON_TICKET_MEMORY_FULL, s_ticket_retry_after);
        return false;
    case TicketBook::Verdict::Expired:
    case TicketBook::Verdict::Malformed:
        break;
    }
    refuse(route, key, RefusalReason::REFUSAL_REASON_TICKET_EXPIRED, Core::Milliseconds(0));
    return false;
}

void SideAuthority::release_ticket(Protocol::Message::Dispatch const& dispatch)
{
    if (!dispatch.ticket().empty())
        m_tickets.release(dispatch.workspace(), dispatch.ticket());
}

void SideAuthority::replay_answer(
    std::string const& route, Protocol::Message::Dispatch const& dispatch, KeptAnswer const& answer)
{
    auto const key = Protocol::key_of(dispatch);
    auto const time = Core::monotonic_now();
    auto& attempt = m_attempts.try_emplace(key, route, dispatch, time).first->second;
    m_decisions.record(key.request, "gave the kept answer of an earlier use of the ticket");
    m_links.send(route, attempt.add_chunk(answer.status, answer.content_type, answer.payload, 0, time));
    auto message = Protocol::make_envelope();
    *message.mutable_finished() = attempt.summary();
    message.mutable_finished()->set_is_replay(true);
    fill_load(*message.mutable_finished()->mutable_load());
    m_links.send(route, attempt.end(std::move(message), time));
}

void SideAuthority::refuse(
    std::string const& route, Policy::AttemptKey const& key, RefusalReason reason, Core::Milliseconds retry_after)
{
    auto message = Protocol::make_envelope();
    auto& refused = *message.mutable_refused();
    Protocol::set_key(refused, key);
    refused.set_reason(reason);
    refused.set_retry_after_ms(Protocol::to_count(retry_after));
    fill_load(*refused.mutable_load());
    m_links.send(route, message);
    auto const& reason_text = Protocol::Message::RefusalReason_Name(reason);
    m_decisions.record(key.request,
        Core::concat(
            "refused attempt ", key.attempt.value(), ": ", reason_text, ", retry after ", retry_after.count(), " ms"));
    m_metrics.counter("granitefield_side_refusals_total", {{"reason", reason_text}}).add();
}

void SideAuthority::end_unstarted(Policy::AttemptKey const& key, RefusalReason reason, Core::Milliseconds retry_after)
{
    auto const found = m_attempts.find(key);
    if (found == m_attempts.end())
        return;
    auto const route = found->second.entry_route();
    release_ticket(found->second.dispatch());
    m_attempts.erase(found);
    // A Resume that asks for this attempt again gets the same answer: it never ran and never will.
    m_tombstones.add(key, Core::monotonic_now());
    refuse(route, key, reason, retry_after);
}

void SideAuthority::handle_revoke(std::string const& route, Protocol::Message::Revoke const& revoke)
{
    auto const key = Protocol::key_of(revoke);
    if (revoke.side_incarnation() != m_incarnation.value() || !is_in_session(route, revoke.session()))
        return;
    auto const found = m_attempts.find(key);
    if (found == m_attempts.end()) {
        m_tombstones.add(key, Core::monotonic_now());
        return refuse(route, key, RefusalReason::REFUSAL_REASON_REVOKED, Core::Milliseconds(0));
    }
    auto& attempt = found->second;
    if (attempt.state() == Attempt::State::Waiting) {
        m_queue.visit([&](auto& queue) { queue.withdraw(key, Core::monotonic_now()); });
        return end_unstarted(key, RefusalReason::REFUSAL_REASON_REVOKED, Core::Milliseconds(0));
    }
    auto reply = Protocol::make_envelope();
    Protocol::set_key(*reply.mutable_already_started(), key);
    m_links.send(route, reply);
    if (!revoke.should_cancel_running() || attempt.state() == Attempt::State::Ended)
        return;
    attempt.is_cancelled = true;
    if (attempt.state() == Attempt::State::Running)
        return send_command(CancelCall {key});
    m_queue.visit([&](auto& queue) { queue.withdraw(key, Core::monotonic_now()); });
    end_cancelled(attempt);
}

void SideAuthority::handle_acknowledge(Protocol::Message::Acknowledge const& acknowledge)
{
    auto const found = m_attempts.find(Protocol::key_of(acknowledge));
    if (found == m_attempts.end() || acknowledge.side_incarnation() != m_incarnation.value())
        return;
    auto& attempt = found->second;
    attempt.acknowledge(acknowledge.sequence(), acknowledge.is_final());
    if (attempt.is_paused && attempt.unacknowledged_bytes() < s_window_resume_bytes) {
        attempt.is_paused = false;
        send_command(ResumeCall {found->first});
    }
    if (attempt.is_settled())
        m_attempts.erase(found);
}

void SideAuthority::handle_resume(std::string const& route, Protocol::Message::Resume const& resume)
{
    auto const key = Protocol::key_of(resume);
    // What was forgotten with an earlier session may have run; the entry learns of it by its next Welcome.
    if (resume.side_incarnation() != m_incarnation.value() || !is_in_session(route, resume.session()))
        return;
    auto const found = m_attempts.find(key);
    if (found == m_attempts.end()) {
        // Its dispatch was lost, or it was refused. If the dispatch still comes, it is refused.
        m_tombstones.add(key, Core::monotonic_now());
        auto reply = Protocol::make_envelope();
        Protocol::set_key(*reply.mutable_unknown(), key);
        m_links.send(route, reply);
        return;
    }
    auto const& attempt = found->second;
    for (auto const* chunk : attempt.chunks_after(resume.after_sequence()))
        m_links.send(route, *chunk);
    if (attempt.last_message() != nullptr) {
        m_links.send(route, *attempt.last_message());
        return;
    }
    auto reply = Protocol::make_envelope();
    if (attempt.state() == Attempt::State::Waiting) {
        Protocol::set_key(*reply.mutable_accepted(), key);
        fill_load(*reply.mutable_accepted()->mutable_load());
    } else {
        Protocol::set_key(*reply.mutable_started(), key);
        fill_load(*reply.mutable_started()->mutable_load());
    }
    m_links.send(route, reply);
}

}
