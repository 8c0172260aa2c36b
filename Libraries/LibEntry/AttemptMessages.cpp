// Handles a side process's messages about attempts (RequestRuns).
#include <LibEntry/RequestRuns.h>

#include <LibCore/Text.h>

#include <LibProtocol/ProtocolVersion.h>

#include <glog/logging.h>

namespace GraniteField::Entry {

using Protocol::Message::Envelope;
using Protocol::Message::RefusalReason;

namespace {

/// Number of chunks after which they are acknowledged, so that the side process buffers few.
constexpr std::uint32_t s_chunks_per_acknowledgement = 32;

/// Minimum retry time that callers receive, also if the side process names none.
constexpr Core::Milliseconds s_min_retry_after {100};

ErrorAnswer error_for(Protocol::Message::Refused const& refused)
{
    auto const retry_after = std::max(Core::Milliseconds(refused.retry_after_ms()), s_min_retry_after);
    switch (refused.reason()) {
    case RefusalReason::REFUSAL_REASON_QUEUE_FULL:
        return {503, "queue_full", "the backend server's queue is full", Outcome::NotRun, retry_after};
    case RefusalReason::REFUSAL_REASON_CLASS_QUEUE_FULL:
        return {503, "class_queue_full", "the class's queue is full", Outcome::NotRun, retry_after};
    case RefusalReason::REFUSAL_REASON_DISPLACED:
        return {
            503, "displaced", "a request of a higher tier displaced it from the queue", Outcome::NotRun, retry_after};
    case RefusalReason::REFUSAL_REASON_TARGET_OUT_OF_REACH:
        return {503, "target_out_of_reach", "the latency target can't be met", Outcome::NotRun, retry_after};
    case RefusalReason::REFUSAL_REASON_DEADLINE:
        return {
            504, "gave_up", "the request did not start within its class's time limit", Outcome::NotRun, retry_after};
    case RefusalReason::REFUSAL_REASON_DRAINING:
        return {503, "draining", "the backend server is leaving", Outcome::NotRun, retry_after};
    case RefusalReason::REFUSAL_REASON_ENGINE_DOWN:
        return {503, "engine_down", "the backend server refuses connections", Outcome::NotRun, retry_after};
    case RefusalReason::REFUSAL_REASON_TICKET_RUNNING:
        return {409, "ticket_running", "the ticket's first request is still running", Outcome::Unknown, retry_after};
    case RefusalReason::REFUSAL_REASON_TICKET_USED:
        return {409, "ticket_used", "the ticket's request has run and its answer is no longer stored", Outcome::Unknown,
            Core::Milliseconds(0)};
    case RefusalReason::REFUSAL_REASON_TICKET_EXPIRED:
        return {409, "ticket_expired", "the ticket has expired; whether its request ran is unknown", Outcome::Unknown,
            Core::Milliseconds(0)};
    case RefusalReason::REFUSAL_REASON_TICKET_MEMORY_FULL:
        return {503, "ticket_memory_full", "the side process can't store more tickets", Outcome::NotRun, retry_after};
    default:
        return {503, "not_taken", "the backend server's side process did not accept the request", Outcome::NotRun,
            retry_after};
    }
}

/// Returns whether a side process refuses for this reason only after it has found the ticket unused.
bool proves_ticket_unused(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::REFUSAL_REASON_QUEUE_FULL:
    case RefusalReason::REFUSAL_REASON_CLASS_QUEUE_FULL:
    case RefusalReason::REFUSAL_REASON_DISPLACED:
    case RefusalReason::REFUSAL_REASON_TARGET_OUT_OF_REACH:
    case RefusalReason::REFUSAL_REASON_DEADLINE:
    case RefusalReason::REFUSAL_REASON_DRAINING:
    case RefusalReason::REFUSAL_REASON_ENGINE_DOWN:
    case RefusalReason::REFUSAL_REASON_TICKET_MEMORY_FULL:
        return true;
    default:
        return false;
    }
}

/// Returns whether the refusal is about reaching the side process and not about its load.
bool is_reachability_refusal(RefusalReason reason)
{
    return reason == RefusalReason::REFUSAL_REASON_OTHER_INCARNATION || reason == RefusalReason::REFUSAL_REASON_REVOKED
        || reason == RefusalReason::REFUSAL_REASON_DRAINING;
}

bool is_ticket_refusal(RefusalReason reason)
{
    return reason == RefusalReason::REFUSAL_REASON_TICKET_RUNNING || reason == RefusalReason::REFUSAL_REASON_TICKET_USED
        || reason == RefusalReason::REFUSAL_REASON_TICKET_EXPIRED;
}

}

void RequestRuns::handle(SideLink& link, Envelope const& message, Core::MonotonicTime now)
{
    // Finds the run of the message's attempt. A message about any other attempt is a stray.
    auto const with_run = [&](auto const& body, auto handler) {
        auto* run = find(Protocol::key_of(body), link);
        if (run == nullptr)
            return handle_stray(link, message);
        run->attempt()->last_heard = now;
        handler(*run, body);
    };
    switch (message.body_case()) {
    case Envelope::kAccepted:
        return with_run(message.accepted(), [&](auto& run, auto const& body) { handle_accepted(link, run, body); });
    case Envelope::kRefused:
        link.note_load(message.refused().load());
        return with_run(message.refused(), [&](auto& run, auto const& body) { handle_refused(link, run, body, now); });
    case Envelope::kStarted:
        return with_run(message.started(), [&](auto& run, auto const& body) { handle_started(link, run, body); });
    case Envelope::kChunk:
        return with_run(message.chunk(), [&](auto& run, auto const& body) { handle_chunk(link, run, body, now); });
    case Envelope::kFinished:
        link.note_load(message.finished().load());
        return with_run(
            message.finished(), [&](auto& run, auto const& body) { handle_finished(link, run, body, now); });
    case Envelope::kFailed:
        link.note_load(message.failed().load());
        return with_run(message.failed(), [&](auto& run, auto const& body) { handle_failed(link, run, body, now); });
    case Envelope::kUnknown:
        return with_run(message.unknown(), [&](auto& run, auto const&) { handle_unknown(link, run, now); });
    default:
        return;
    }
}

void RequestRuns::handle_stray(SideLink& link, Envelope const& message)
{
    // Acknowledges the end of an abandoned attempt, so that the side process can forget it. Other messages about such
    // an attempt are dropped.
    if (message.body_case() == Envelope::kFinished)
        acknowledge_stray(link, Protocol::key_of(message.finished()));
    else if (message.body_case() == Envelope::kFailed)
        acknowledge_stray(link, Protocol::key_of(message.failed()));
}

void RequestRuns::acknowledge_stray(SideLink& link, Policy::AttemptKey const& key)
{
    auto envelope = Protocol::make_envelope();
    auto& body = *envelope.mutable_acknowledge();
    Protocol::set_key(body, key);
    body.set_side_incarnation(link.incarnation().value());
    body.set_is_final(true);
    link.send(envelope);
}

void RequestRuns::acknowledge(SideLink& link, RequestRun& run, bool is_final)
{
    auto& attempt = *run.attempt();
    attempt.acknowledged = attempt.chunks;
    auto envelope = Protocol::make_envelope();
    auto& body = *envelope.mutable_acknowledge();
    Protocol::set_key(body, run.key());
    body.set_side_incarnation(link.incarnation().value());
    body.set_sequence(attempt.chunks);
    body.set_is_final(is_final);
    link.send(envelope);
}

void RequestRuns::note_in_load_report(SideLink& link, RequestRun& run, Protocol::Message::LoadReport const& load)
{
    link.note_load(load);
    auto& attempt = *run.attempt();
    if (attempt.is_in_load_report)
        return;
    attempt.is_in_load_report = true;
    link.note_answered(run.call().request_class.tier);
}

void RequestRuns::handle_accepted(SideLink& link, RequestRun& run, Protocol::Message::Accepted const& accepted)
{
    note_in_load_report(link, run, accepted.load());
    auto& attempt = *run.attempt();
    if (attempt.state == AttemptView::State::Sent)
        attempt.state = AttemptView::State::Accepted;
}

void RequestRuns::handle_started(SideLink& link, RequestRun& run, Protocol::Message::Started const& started)
{
    note_in_load_report(link, run, started.load());
    auto& attempt = *run.attempt();
    if (attempt.state == AttemptView::State::Started)
        return;
    attempt.state = AttemptView::State::Started;
    record_decision(
        run, Core::concat("started at ", attempt.backend_server, " after ", started.queued_ms(), " ms in its queue"));
}

void RequestRuns::handle_refused(
    SideLink& link, RequestRun& run, Protocol::Message::Refused const& refused, Core::MonotonicTime now)
{
    auto const reason = refused.reason();
    auto error = error_for(refused);
    record_decision(run, Core::concat(run.attempt()->backend_server, " refused: ", error.message));
    if (!run.call().ticket.empty()) {
        bool const was_reserved
            = run.attempt()->state != AttemptView::State::Sent && reason == RefusalReason::REFUSAL_REASON_REVOKED;
        if (proves_ticket_unused(reason) || was_reserved)
            run.note_ticket_unused();
        if (is_ticket_refusal(reason) || reason == RefusalReason::REFUSAL_REASON_OTHER_INCARNATION)
            return fail(run, std::move(error));
    }
    if (reason == RefusalReason::REFUSAL_REASON_OTHER_INCARNATION)
        link.note_other_incarnation();
    if (is_reachability_refusal(reason))
        return retry_unreached(run, std::move(error), now);
    retry_unstarted(run, std::move(error), now);
}

void RequestRuns::handle_unknown(SideLink&, RequestRun& run, Core::MonotonicTime now)
{
    record_decision(run, Core::concat(run.attempt()->backend_server, " did not receive the dispatch"));
    retry_unreached(run,
        {503, "not_taken", "the backend server's side process did not receive the request", Outcome::NotRun,
            Core::Milliseconds(200)},
        now);
}

void RequestRuns::handle_chunk(
    SideLink& link, RequestRun& run, Protocol::Message::Chunk const& chunk, Core::MonotonicTime now)
{
    auto& attempt = *run.attempt();
    attempt.state = AttemptView::State::Started;
    switch (run.add_chunk(chunk, now)) {
    case ChunkResult::Repeated:
        return;
    case ChunkResult::Gap:
        // One Resume message for each gap and interval suffices: the reply brings all missing chunks.
        if (now - attempt.last_resume > m_settings.resume_interval / 10)
            send_resume(link, run, now);
        return;
    case ChunkResult::Added:
        break;
    }
    m_limits.charge_tokens(run.call().workspace, chunk.tokens(), now);
    m_tokens.add(chunk.tokens());
    if (auto const gap = run.take_token_gap())
        metrics_of(run).token_gap.add(*gap);
    bool const is_due = attempt.chunks - attempt.acknowledged >= s_chunks_per_acknowledgement;
    if (is_due && run.can_caller_receive_more())
        acknowledge(link, run, false);
}

void RequestRuns::handle_finished(
    SideLink& link, RequestRun& run, Protocol::Message::Finished const& finished, Core::MonotonicTime now)
{
    auto const& attempt = *run.attempt();
    if (finished.chunks() > attempt.chunks)
        return send_resume(link, run, now);
    acknowledge(link, run, true);
    if (!run.is_whole(finished)) {
        m_metrics.counter("granitefield_entry_integrity_failures_total").add();
        LOG(ERROR) << "entry: the answer to " << run.call().id.to_string() << " differs from what "
                   << attempt.backend_server << " sent";
        return retry_lost(run,
            {502, "answer_damaged", "the answer was corrupted in transit", Outcome::Unknown, Core::Milliseconds(1000)},
            now);
    }
    run.complete(finished.is_replay());
    finish(run, Outcome::Done);
}

void RequestRuns::handle_failed(
    SideLink& link, RequestRun& run, Protocol::Message::Failed const& failed, Core::MonotonicTime now)
{
    acknowledge(link, run, true);
    record_decision(run, Core::concat(run.attempt()->backend_server, " failed: ", failed.message()));
    retry_lost(run,
        {502, "engine_failed", Core::concat("the backend server failed: ", failed.message()), Outcome::Unknown,
            Core::Milliseconds(1000)},
        now);
}

}
