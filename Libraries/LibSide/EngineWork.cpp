// How SideAuthority starts attempts and takes what the backend server answers.
#include <LibSide/SideAuthority.h>

#include <LibCore/Text.h>
#include <LibSide/AuthorityLimits.h>

#include <algorithm>
#include <thread>

namespace GraniteField::Side {

using Protocol::Message::RefusalReason;

namespace {

constexpr Core::Milliseconds s_engine_down_retry_after {1'000};

}

void SideAuthority::send_command(EngineCommand command)
{
    // The ring takes several commands for each slot, and the engine client empties it at every turn.
    while (!m_engine.try_send(command))
        std::this_thread::yield();
}

void SideAuthority::start_waiting()
{
    auto const time = Core::monotonic_now();
    if (!are_entries_confirmed(time))
        return;
    while (auto const next = m_queue.visit([&](auto& queue) { return queue.next(time); }))
        start(*next);
}

void SideAuthority::start(Policy::Start const& next)
{
    auto const& key = next.work.key;
    auto& attempt = m_attempts.at(key);
    auto const time = Core::monotonic_now();
    EngineCall call;
    call.key = key;
    call.method = attempt.dispatch().method();
    call.path = attempt.dispatch().path();
    call.content_type = attempt.dispatch().content_type();
    call.body = attempt.dispatch().body();
    call.traceparent = attempt.dispatch().traceparent();
    call.request_class = next.work.request_class;
    call.tier = next.work.tier;
    call.is_stream = attempt.dispatch().is_stream();
    call.is_repeatable = next.work.is_repeatable;
    call.resume_after_tokens = attempt.tokens();
    attempt.is_preemptible = next.work.is_preemptible;
    bool const goes_on = attempt.state() == Attempt::State::Suspended;
    attempt.start(time);
    if (goes_on) {
        m_decisions.record(key.request, Core::concat("goes on after ", call.resume_after_tokens, " tokens"));
        return send_command(StartCall {std::move(call)});
    }

    auto const queued = Core::elapsed(attempt.received(), time);
    auto message = Protocol::make_envelope();
    Protocol::set_key(*message.mutable_started(), key);
    message.mutable_started()->set_queued_ms(Protocol::to_count(queued));
    fill_load(*message.mutable_started()->mutable_load());
    m_links.send(attempt.entry_route(), message);
    send_command(StartCall {std::move(call)});

    auto const* reason
        = next.reason == Policy::StartReason::Floor ? "its class's floor" : "the order of tiers and deadlines";
    m_decisions.record(key.request,
        Core::concat("started attempt ", key.attempt.value(), " after ", queued.count(), " ms by ", reason));
    m_metrics
        .counter("granitefield_side_starts_total",
            {{"class", next.work.request_class},
                {"reason", next.reason == Policy::StartReason::Floor ? "floor" : "order"}})
        .add();
    m_metrics.distribution("granitefield_side_queue_seconds", {{"class", next.work.request_class}}).add(queued);
}

void SideAuthority::suspend_for_higher_tiers()
{
    auto const time = Core::monotonic_now();
    while (auto const key = m_queue.visit([&](auto& queue) { return queue.next_preemption(time); })) {
        auto& attempt = m_attempts.at(*key);
        attempt.is_being_suspended = true;
        m_decisions.record(key->request, "suspended for a request of a higher tier that would miss its target");
        m_metrics
            .counter("granitefield_side_suspensions_total", {{"class", attempt.dispatch().policy().request_class()}})
            .add();
        send_command(CancelCall {*key});
    }
}

void SideAuthority::handle_engine_events()
{
    while (auto event = m_engine.next_event()) {
        if (auto* piece = std::get_if<AnswerPiece>(event.get()))
            handle_piece(std::move(*piece));
        else if (auto const* end = std::get_if<AnswerEnd>(event.get()))
            handle_end(*end);
    }
}

void SideAuthority::handle_piece(AnswerPiece&& piece)
{
    auto const found = m_attempts.find(piece.key);
    if (found == m_attempts.end() || found->second.state() != Attempt::State::Running)
        return;
    auto& attempt = found->second;
    m_tokens.add(piece.tokens);
    auto const& message = attempt.add_chunk(
        piece.status, std::move(piece.content_type), std::move(piece.payload), piece.tokens, Core::monotonic_now());
    m_links.send(attempt.entry_route(), message);
    if (!attempt.is_paused && attempt.unacknowledged_bytes() > s_window_bytes) {
        attempt.is_paused = true;
        send_command(PauseCall {piece.key});
    }
}

void SideAuthority::handle_end(AnswerEnd const& end)
{
    auto const time = Core::monotonic_now();
    auto const found = m_attempts.find(end.key);
    bool const is_suspension = end.end == CallEnd::Cancelled && found != m_attempts.end()
        && found->second.is_being_suspended && !found->second.is_cancelled;
    if (is_suspension) {
        found->second.is_being_suspended = false;
        found->second.suspend();
        return m_queue.visit([&](auto& queue) { queue.suspend(end.key, time); });
    }
    m_queue.visit([&](auto& queue) { queue.finish(end.key, time); });
    if (found == m_attempts.end() || found->second.state() != Attempt::State::Running)
        return;
    auto& attempt = found->second;
    if (end.end == CallEnd::NeverSent)
        return end_unstarted(end.key, RefusalReason::REFUSAL_REASON_ENGINE_DOWN, s_engine_down_retry_after);

    bool const is_whole = end.end == CallEnd::Whole;
    if (is_whole && !end.rest.empty())
        handle_piece({end.key, end.status, end.content_type, end.rest, 0});
    auto message = Protocol::make_envelope();
    if (is_whole) {
        if (attempt.chunk_count() == 0)
            m_links.send(attempt.entry_route(), attempt.add_chunk(end.status, end.content_type, "", 0, time));
        *message.mutable_finished() = attempt.summary();
        fill_load(*message.mutable_finished()->mutable_load());
        auto const first_piece = Core::elapsed(attempt.started(), attempt.first_piece().value_or(time));
        m_predictor.record(attempt.dispatch().policy().request_class(), attempt.dispatch().workspace(),
            {Core::elapsed(attempt.started(), time), first_piece});
    } else {
        Protocol::set_key(*message.mutable_failed(), end.key);
        message.mutable_failed()->set_message(end.message);
        fill_load(*message.mutable_failed()->mutable_load());
        m_metrics.counter("granitefield_side_wasted_tokens_total").add(attempt.tokens());
    }
    m_metrics
        .counter("granitefield_side_ends_total",
            {{"end", is_whole ? "whole" : (attempt.is_cancelled ? "cancelled" : "broken")}})
        .add();
    m_decisions.record(end.key.request,
        Core::concat("attempt ", end.key.attempt.value(), is_whole ? " finished" : " failed: ", end.message, ", ",
            attempt.tokens(), " tokens"));
    settle_ticket(attempt, is_whole);
    record_spans(attempt, !is_whole);
    m_links.send(attempt.entry_route(), attempt.end(std::move(message), time));
}

void SideAuthority::end_cancelled(Attempt& attempt)
{
    auto message = Protocol::make_envelope();
    Protocol::set_key(*message.mutable_failed(), Protocol::key_of(attempt.dispatch()));
    message.mutable_failed()->set_message("cancelled");
    fill_load(*message.mutable_failed()->mutable_load());
    m_metrics.counter("granitefield_side_wasted_tokens_total").add(attempt.tokens());
    m_links.send(attempt.entry_route(), attempt.end(std::move(message), Core::monotonic_now()));
}

void SideAuthority::settle_ticket(Attempt const& attempt, bool is_whole)
{
    auto const& dispatch = attempt.dispatch();
    if (dispatch.ticket().empty())
        return;
    auto payload = is_whole ? attempt.kept_answer() : std::nullopt;
    std::optional<KeptAnswer> answer;
    if (payload)
        answer = KeptAnswer {attempt.status(), attempt.content_type(), std::move(*payload)};
    m_tickets.finish(dispatch.workspace(), dispatch.ticket(), std::move(answer));
}

void SideAuthority::record_spans(Attempt const& attempt, bool has_failed)
{
    if (m_spans == nullptr)
        return;
    auto const parent = Observe::TraceContext::from_header(attempt.dispatch().traceparent());
    if (!parent || !parent->is_sampled)
        return;
    auto const wall_now = std::chrono::system_clock::now();
    auto const to_wall = [&](Core::MonotonicTime time) {
        return wall_now - std::chrono::duration_cast<std::chrono::system_clock::duration>(Core::monotonic_now() - time);
    };
    Observe::Labels const attributes {{"request", Protocol::from_message(attempt.dispatch().request()).to_string()},
        {"backend-server", m_settings.backend_server}};
    m_spans->record({parent->child(), parent->span_id, "side queue", to_wall(attempt.received()),
        to_wall(attempt.started()), attributes, false});
    m_spans->record(
        {parent->child(), parent->span_id, "engine", to_wall(attempt.started()), wall_now, attributes, has_failed});
}

}
