#include <LibSide/SideAuthority.h>

#include <LibCore/Text.h>

#include <LibProtocol/ProtocolVersion.h>

#include <algorithm>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Side {

using Protocol::Message::Envelope;
using Protocol::Message::RefusalReason;

namespace {

constexpr char const* s_log_prefix = "side: ";

/// Longest sleep of the loop; housekeeping runs this often.
constexpr Core::Milliseconds s_housekeeping_interval {100};
/// A loop that stood still for this long was paused, and what it knows is old.
constexpr Core::Milliseconds s_pause_limit {1'000};
/// How long entries have to answer the challenge after a pause.
constexpr Core::Milliseconds s_confirmation_patience {1'000};
/// Messages taken in one turn of the loop before engine events get theirs.
constexpr int s_messages_per_turn = 5'000;
/// An answer of which this much is not acknowledged is paused at the engine.
constexpr std::size_t s_window_bytes = 1U << 20U;
constexpr std::size_t s_window_resume_bytes = s_window_bytes / 2;
/// The last word on an attempt is repeated this often until the entry has acknowledged it or is gone.
constexpr Core::Milliseconds s_repeat_interval {2'000};
/// Classes whose newest row is kept.
constexpr std::size_t s_largest_row_count = 1'000;
constexpr Core::Milliseconds s_ticket_retry_after {1'000};
constexpr Core::Milliseconds s_engine_down_retry_after {1'000};
constexpr Core::Milliseconds s_draining_retry_after {200};

RefusalReason to_message(Policy::Refusal refusal)
{
    switch (refusal) {
    case Policy::Refusal::QueueFull:
        return RefusalReason::REFUSAL_REASON_QUEUE_FULL;
    case Policy::Refusal::ClassQueueFull:
        return RefusalReason::REFUSAL_REASON_CLASS_QUEUE_FULL;
    case Policy::Refusal::Displaced:
        return RefusalReason::REFUSAL_REASON_DISPLACED;
    case Policy::Refusal::TargetOutOfReach:
        return RefusalReason::REFUSAL_REASON_TARGET_OUT_OF_REACH;
    case Policy::Refusal::GaveUp:
        break;
    }
    return RefusalReason::REFUSAL_REASON_DEADLINE;
}

std::uint32_t to_count(Core::Milliseconds duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(duration.count(), 0));
}

Core::Milliseconds elapsed(Core::MonotonicTime from, Core::MonotonicTime to)
{
    return std::chrono::duration_cast<Core::Milliseconds>(to - from);
}

Core::MonotonicTime now()
{
    return std::chrono::steady_clock::now();
}

}

SideAuthority::SideAuthority(SideSettings settings, zmq::context_t& context, Observe::MetricRegistry& metrics,
    Observe::DecisionRing& decisions, Observe::SpanExporter* spans)
    : m_settings(std::move(settings))
    , m_incarnation(Core::draw_incarnation())
    , m_started(now())
    , m_links(context, m_settings.link_address)
    , m_engine(m_settings.engine, m_wake)
    , m_queue(m_settings.discipline, m_settings.limits)
    , m_tickets(m_incarnation, m_settings.tickets)
    , m_loop_time(m_started)
    , m_last_housekeeping(m_started)
    , m_metrics(metrics)
    , m_decisions(decisions)
    , m_spans(spans)
{
    publish_status();
    m_thread = std::thread([this] { run(); });
}

SideAuthority::~SideAuthority()
{
    m_should_stop = true;
    m_wake.signal();
    m_thread.join();
}

void SideAuthority::drain()
{
    m_wants_drain = true;
    m_wake.signal();
}

void SideAuthority::undrain()
{
    m_wants_drain = false;
    m_wake.signal();
}

std::string SideAuthority::status() const
{
    std::lock_guard const lock(m_status_mutex);
    return m_status;
}

Core::Milliseconds SideAuthority::uptime() const
{
    return elapsed(m_started, now());
}

void SideAuthority::run()
{
    LOG(INFO) << s_log_prefix << "serving " << m_settings.backend_server << " as incarnation "
              << Core::to_hex(m_incarnation.value());
    while (!m_should_stop) {
        wait_for_work();
        note_pause(now());
        // Everything that has arrived is read before anything starts, so that a revocation behind a dispatch
        // counts, also after a pause.
        receive_messages();
        handle_engine_events();
        if (m_is_draining != m_wants_drain) {
            m_is_draining = m_wants_drain;
            LOG(INFO) << s_log_prefix << (m_is_draining ? "draining" : "taking new work again");
            for (auto const& [route, entry] : m_entries)
                send_pong(route);
        }
        if (m_is_draining)
            send_back_waiting();
        expire_waiting();
        start_waiting();
        if (elapsed(m_last_housekeeping, now()) >= s_housekeeping_interval)
            keep_house();
        m_loop_time = now();
    }
}

void SideAuthority::wait_for_work()
{
    auto timeout = s_housekeeping_interval;
    auto const wake = m_queue.visit([](auto const& queue) { return queue.next_wake(); });
    if (wake)
        timeout
            = std::clamp(elapsed(now(), *wake) + Core::Milliseconds(1), Core::Milliseconds(0), s_housekeeping_interval);
    std::array<zmq::pollitem_t, 2> items {{
        {m_links.socket().handle(), 0, ZMQ_POLLIN, 0},
        {nullptr, m_wake.descriptor(), ZMQ_POLLIN, 0},
    }};
    zmq::poll(items.data(), items.size(), timeout);
    m_wake.drain();
}

void SideAuthority::note_pause(Core::MonotonicTime time)
{
    if (elapsed(m_loop_time, time) < s_pause_limit)
        return;
    // The process was stopped, or the host stood still. Entries may have given up what waits here and told
    // their callers so; their revocations are behind us in the sockets. Nothing starts until each entry
    // has answered, which it does behind everything it sent before.
    LOG(WARNING) << s_log_prefix << "stood still for " << elapsed(m_loop_time, time).count()
                 << " ms; asking entries before anything starts";
    m_metrics.counter("granitefield_side_pauses_total").add();
    ++m_challenge;
    m_challenged_at = time;
    for (auto& [route, entry] : m_entries) {
        // Its silence was this process's own.
        entry.last_heard = time;
        send_pong(route);
    }
}

bool SideAuthority::are_entries_confirmed(Core::MonotonicTime time)
{
    if (!m_challenged_at)
        return true;
    bool const is_everyone_confirmed = std::ranges::all_of(
        m_entries, [this](auto const& item) { return item.second.answered_challenge == m_challenge; });
    if (!is_everyone_confirmed && elapsed(*m_challenged_at, time) < s_confirmation_patience)
        return false;
    m_challenged_at.reset();
    std::vector<Policy::WorkKey> unconfirmed;
    for (auto const& [key, attempt] : m_attempts) {
        auto const entry = m_entries.find(attempt.entry_route());
        bool const is_confirmed = entry != m_entries.end() && entry->second.answered_challenge == m_challenge;
        if (attempt.state() == Attempt::State::Waiting && !is_confirmed)
            unconfirmed.push_back(key);
    }
    for (auto const& key : unconfirmed) {
        m_queue.visit([&](auto& queue) { queue.withdraw(key, time); });
        end_unstarted(key, RefusalReason::REFUSAL_REASON_REVOKED, s_draining_retry_after);
    }
    return true;
}

void SideAuthority::receive_messages()
{
    for (int count = 0; count < s_messages_per_turn; ++count) {
        auto const received = m_links.receive();
        if (!received)
            return;
        handle(*received);
    }
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
        auto reply = envelope();
        reply.mutable_version_refused()->set_own_version(Protocol::s_protocol_version);
        m_links.send(received.route, reply);
        return;
    }
    auto const known = m_entries.find(received.route);
    if (known != m_entries.end())
        known->second.last_heard = now();
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

Envelope SideAuthority::envelope() const
{
    Envelope envelope;
    envelope.set_protocol_version(Protocol::s_protocol_version);
    return envelope;
}

void SideAuthority::handle_hello(std::string const& route)
{
    auto& entry = m_entries[route];
    if (entry.session == 0)
        entry.session = ++m_sessions;
    entry.last_heard = now();
    // Whoever greets a process speaks with its present state in mind.
    entry.answered_challenge = m_challenge;
    auto reply = envelope();
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

void SideAuthority::send_pong(std::string const& route)
{
    auto message = envelope();
    auto& pong = *message.mutable_pong();
    pong.set_side_incarnation(m_incarnation.value());
    pong.set_challenge(m_challenge);
    fill_load(*pong.mutable_load());
    m_links.send(route, message);
}

void SideAuthority::fill_load(Protocol::Message::LoadReport& load) const
{
    load.set_uptime_ms(static_cast<std::uint64_t>(uptime().count()));
    load.set_is_draining(m_is_draining || m_wants_drain);
    auto const prediction = m_predictor.overall();
    load.set_mean_first_token_ms(to_count(prediction.first_token));
    m_queue.visit([&load](auto const& queue) {
        auto const& limits = queue.limits();
        load.set_slots(limits.slots);
        load.set_queue_limit(limits.queue_limit);
        load.set_headroom_slots(limits.headroom_slots);
        load.set_running(static_cast<std::uint32_t>(queue.running_count()));
        load.set_mean_service_ms(to_count(queue.mean_service()));
        for (unsigned tier = 1; tier <= Policy::s_tier_count; ++tier)
            load.add_waiting_by_tier(static_cast<std::uint32_t>(queue.waiting_count(tier)));
    });
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
    work.give_up = time + Core::Milliseconds(dispatch.remaining_ms());
    work.should_refuse_late = row.should_refuse_late();
    work.is_repeatable = dispatch.is_repeatable();
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

    auto const time = now();
    auto offer = m_queue.visit([&](auto& queue) { return queue.offer(make_work(dispatch, time), time); });
    if (offer.refusal) {
        release_ticket(dispatch);
        return refuse(route, key, to_message(*offer.refusal), offer.retry_after);
    }
    auto& attempt = m_attempts.try_emplace(key, route, dispatch, time).first->second;
    if (!dispatch.ticket().empty())
        attempt.keep_answer(m_settings.tickets.largest_answer_bytes);
    auto reply = envelope();
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
    auto const time = now();
    auto& attempt = m_attempts.try_emplace(key, route, dispatch, time).first->second;
    m_decisions.record(key.request, "gave the kept answer of an earlier use of the ticket");
    m_links.send(route, attempt.add_chunk(answer.status, answer.content_type, answer.payload, 0, time));
    auto message = envelope();
    *message.mutable_finished() = attempt.summary();
    message.mutable_finished()->set_is_replay(true);
    fill_load(*message.mutable_finished()->mutable_load());
    m_links.send(route, attempt.end(std::move(message), time));
}

void SideAuthority::refuse(
    std::string const& route, Policy::WorkKey const& key, RefusalReason reason, Core::Milliseconds retry_after)
{
    auto message = envelope();
    auto& refused = *message.mutable_refused();
    Protocol::set_key(refused, key);
    refused.set_reason(reason);
    refused.set_retry_after_ms(to_count(retry_after));
    fill_load(*refused.mutable_load());
    m_links.send(route, message);
    auto const& reason_text = Protocol::Message::RefusalReason_Name(reason);
    m_decisions.record(key.request,
        Core::concat(
            "refused attempt ", key.attempt.value(), ": ", reason_text, ", retry after ", retry_after.count(), " ms"));
    m_metrics.counter("granitefield_side_refusals_total", {{"reason", reason_text}}).add();
}

void SideAuthority::end_unstarted(Policy::WorkKey const& key, RefusalReason reason, Core::Milliseconds retry_after)
{
    auto const found = m_attempts.find(key);
    if (found == m_attempts.end())
        return;
    auto const route = found->second.entry_route();
    release_ticket(found->second.dispatch());
    m_attempts.erase(found);
    // A Resume that asks for this attempt again gets the same answer: it never ran and never will.
    m_tombstones.add(key, now());
    refuse(route, key, reason, retry_after);
}

void SideAuthority::handle_revoke(std::string const& route, Protocol::Message::Revoke const& revoke)
{
    auto const key = Protocol::key_of(revoke);
    if (revoke.side_incarnation() != m_incarnation.value() || !is_in_session(route, revoke.session()))
        return;
    auto const found = m_attempts.find(key);
    if (found == m_attempts.end()) {
        m_tombstones.add(key, now());
        return refuse(route, key, RefusalReason::REFUSAL_REASON_REVOKED, Core::Milliseconds(0));
    }
    auto& attempt = found->second;
    if (attempt.state() == Attempt::State::Waiting) {
        m_queue.visit([&](auto& queue) { queue.withdraw(key, now()); });
        return end_unstarted(key, RefusalReason::REFUSAL_REASON_REVOKED, Core::Milliseconds(0));
    }
    auto reply = envelope();
    Protocol::set_key(*reply.mutable_already_started(), key);
    m_links.send(route, reply);
    if (!revoke.should_cancel_running() || attempt.state() != Attempt::State::Running)
        return;
    attempt.is_cancelled = true;
    send_command(CancelCall {key});
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
        m_tombstones.add(key, now());
        auto reply = envelope();
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
    auto reply = envelope();
    if (attempt.state() == Attempt::State::Waiting) {
        Protocol::set_key(*reply.mutable_accepted(), key);
        fill_load(*reply.mutable_accepted()->mutable_load());
    } else {
        Protocol::set_key(*reply.mutable_started(), key);
        fill_load(*reply.mutable_started()->mutable_load());
    }
    m_links.send(route, reply);
}

void SideAuthority::send_command(EngineCommand command)
{
    // The ring takes several commands for each slot, and the engine client empties it at every turn.
    while (!m_engine.try_send(command))
        std::this_thread::yield();
}

void SideAuthority::start_waiting()
{
    auto const time = now();
    if (!are_entries_confirmed(time))
        return;
    while (auto const next = m_queue.visit([&](auto& queue) { return queue.next(time); }))
        start(*next);
}

void SideAuthority::start(Policy::Start const& next)
{
    auto const& key = next.work.key;
    auto& attempt = m_attempts.at(key);
    auto const time = now();
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
    attempt.start(time);

    auto const queued = elapsed(attempt.received(), time);
    auto message = envelope();
    Protocol::set_key(*message.mutable_started(), key);
    message.mutable_started()->set_queued_ms(to_count(queued));
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
    m_metrics.counter("granitefield_side_tokens_total").add(piece.tokens);
    auto const& message
        = attempt.add_chunk(piece.status, std::move(piece.content_type), std::move(piece.payload), piece.tokens, now());
    m_links.send(attempt.entry_route(), message);
    if (!attempt.is_paused && attempt.unacknowledged_bytes() > s_window_bytes) {
        attempt.is_paused = true;
        send_command(PauseCall {piece.key});
    }
}

void SideAuthority::handle_end(AnswerEnd const& end)
{
    auto const time = now();
    m_queue.visit([&](auto& queue) { queue.finish(end.key, time); });
    auto const found = m_attempts.find(end.key);
    if (found == m_attempts.end() || found->second.state() != Attempt::State::Running)
        return;
    auto& attempt = found->second;
    if (end.end == CallEnd::NeverSent)
        return end_unstarted(end.key, RefusalReason::REFUSAL_REASON_ENGINE_DOWN, s_engine_down_retry_after);

    bool const is_whole = end.end == CallEnd::Whole;
    auto message = envelope();
    if (is_whole) {
        if (attempt.chunk_count() == 0)
            m_links.send(attempt.entry_route(), attempt.add_chunk(end.status, end.content_type, "", 0, time));
        *message.mutable_finished() = attempt.summary();
        fill_load(*message.mutable_finished()->mutable_load());
        auto const first_piece = elapsed(attempt.started(), attempt.first_piece().value_or(time));
        m_predictor.record(attempt.dispatch().policy().request_class(), attempt.dispatch().workspace(),
            {elapsed(attempt.started(), time), first_piece});
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
        return wall_now - std::chrono::duration_cast<std::chrono::system_clock::duration>(now() - time);
    };
    Observe::Labels const attributes {{"request", Protocol::from_message(attempt.dispatch().request()).to_string()},
        {"backend-server", m_settings.backend_server}};
    m_spans->record({parent->child(), parent->span_id, "side queue", to_wall(attempt.received()),
        to_wall(attempt.started()), attributes, false});
    m_spans->record(
        {parent->child(), parent->span_id, "engine", to_wall(attempt.started()), wall_now, attributes, has_failed});
}

void SideAuthority::expire_waiting()
{
    auto const time = now();
    auto const expired = m_queue.visit([&](auto& queue) { return queue.expire(time); });
    for (auto const& expiry : expired) {
        auto const wait = m_queue.visit([&](auto const& queue) { return queue.expected_wait(expiry.work.tier); });
        end_unstarted(expiry.work.key, to_message(expiry.refusal), std::max(wait, s_draining_retry_after));
    }
}

void SideAuthority::send_back_waiting()
{
    std::vector<Policy::WorkKey> waiting;
    for (auto const& [key, attempt] : m_attempts) {
        if (attempt.state() == Attempt::State::Waiting)
            waiting.push_back(key);
    }
    for (auto const& key : waiting) {
        m_queue.visit([&](auto& queue) { queue.withdraw(key, now()); });
        end_unstarted(key, RefusalReason::REFUSAL_REASON_DRAINING, s_draining_retry_after);
    }
}

void SideAuthority::drop_silent_entries()
{
    auto const time = now();
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (elapsed(entry->second.last_heard, time) < m_settings.entry_patience) {
            ++entry;
            continue;
        }
        LOG(INFO) << s_log_prefix << "entry " << entry->first << " is gone; dropping what it sent";
        forget_attempts_of(entry->first, time);
        entry = m_entries.erase(entry);
    }
}

void SideAuthority::forget_attempts_of(std::string const& route, Core::MonotonicTime time)
{
    std::vector<Policy::WorkKey> waiting;
    std::vector<Policy::WorkKey> ended;
    for (auto& [key, attempt] : m_attempts) {
        if (attempt.entry_route() != route)
            continue;
        if (attempt.state() == Attempt::State::Waiting)
            waiting.push_back(key);
        if (attempt.state() == Attempt::State::Ended)
            ended.push_back(key);
        // What may not run twice runs to its end: nobody can say whether it was needed.
        bool const should_cancel
            = attempt.state() == Attempt::State::Running && attempt.dispatch().is_repeatable() && !attempt.is_cancelled;
        if (!should_cancel)
            continue;
        attempt.is_cancelled = true;
        send_command(CancelCall {key});
    }
    for (auto const& key : waiting) {
        m_queue.visit([&](auto& queue) { queue.withdraw(key, time); });
        end_unstarted(key, RefusalReason::REFUSAL_REASON_REVOKED, Core::Milliseconds(0));
    }
    for (auto const& key : ended)
        m_attempts.erase(key);
}

void SideAuthority::repeat_unsettled()
{
    auto const time = now();
    if (elapsed(m_last_repeat, time) < s_repeat_interval)
        return;
    m_last_repeat = time;
    std::vector<Policy::WorkKey> orphans;
    for (auto const& [key, attempt] : m_attempts) {
        if (attempt.state() != Attempt::State::Ended)
            continue;
        if (!m_entries.contains(attempt.entry_route()))
            orphans.push_back(key);
        else if (elapsed(attempt.ended(), time) >= s_repeat_interval)
            m_links.send(attempt.entry_route(), *attempt.last_message());
    }
    for (auto const& key : orphans)
        m_attempts.erase(key);
}

void SideAuthority::keep_house()
{
    m_last_housekeeping = now();
    drop_silent_entries();
    repeat_unsettled();
    publish_status();
    m_queue.visit([this](auto const& queue) {
        m_metrics.gauge("granitefield_side_running").set(static_cast<std::int64_t>(queue.running_count()));
        m_metrics.gauge("granitefield_side_waiting").set(static_cast<std::int64_t>(queue.waiting_count()));
    });
    m_metrics.gauge("granitefield_side_attempts").set(static_cast<std::int64_t>(m_attempts.size()));
    m_metrics.gauge("granitefield_side_tickets").set(static_cast<std::int64_t>(m_tickets.count()));
    m_metrics.gauge("granitefield_side_tombstones").set(static_cast<std::int64_t>(m_tombstones.count()));
    m_metrics.gauge("granitefield_side_entries").set(static_cast<std::int64_t>(m_entries.size()));
    // Drained means that entries have the last word on all their attempts, or have had the time to ask.
    bool const has_open = std::ranges::any_of(m_attempts, [](auto const& item) { return !item.second.is_settled(); });
    m_is_drained = m_is_draining && !has_open;
}

void SideAuthority::publish_status()
{
    nlohmann::json status {{"role", "side"}, {"backend-server", m_settings.backend_server},
        {"service", m_settings.service}, {"incarnation", Core::to_hex(m_incarnation.value())},
        {"draining", m_is_draining}, {"entries", m_entries.size()}};
    m_queue.visit([&status](auto const& queue) {
        status["slots"] = queue.limits().slots;
        status["running"] = queue.running_count();
        status["waiting"] = queue.waiting_count();
        status["mean-service-ms"] = queue.mean_service().count();
    });
    std::lock_guard const lock(m_status_mutex);
    m_status = status.dump();
}

}
