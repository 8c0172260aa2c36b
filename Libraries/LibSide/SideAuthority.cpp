#include <LibSide/SideAuthority.h>

#include <LibCore/Text.h>
#include <LibCore/Thread.h>
#include <LibProtocol/Poll.h>
#include <LibSide/AuthorityLimits.h>
#include <LibSide/Refusals.h>

#include <algorithm>
#include <array>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace GraniteField::Side {

using Protocol::Message::RefusalReason;

namespace {

/// Longest sleep of the loop; housekeeping runs this often.
constexpr Core::Milliseconds s_housekeeping_interval {100};
/// A loop that stood still for this long was paused, and what it knows is old.
constexpr Core::Milliseconds s_pause_limit {1'000};
/// How long entries have to answer the challenge after a pause.
constexpr Core::Milliseconds s_confirmation_patience {1'000};
/// Messages taken in one turn of the loop before engine events get theirs.
constexpr int s_messages_per_turn = 5'000;
/// The last word on an attempt is repeated this often until the entry has acknowledged it or is gone.
constexpr Core::Milliseconds s_repeat_interval {2'000};

}

SideAuthority::SideAuthority(SideSettings settings, zmq::context_t& context, Observe::MetricRegistry& metrics,
    Observe::DecisionRing& decisions, Observe::SpanExporter* spans)
    : m_settings(std::move(settings))
    , m_incarnation(Core::draw_incarnation())
    , m_started(Core::monotonic_now())
    , m_links(context, m_settings.link_address, m_settings.listen)
    , m_engine(m_settings.engine, m_wake)
    , m_queue(m_settings.discipline, m_settings.limits)
    , m_tickets(m_incarnation, m_settings.tickets)
    , m_loop_time(m_started)
    , m_last_housekeeping(m_started)
    , m_metrics(metrics)
    , m_tokens(metrics.counter("granitefield_side_tokens_total"))
    , m_decisions(decisions)
    , m_spans(spans)
{
    publish_status();
    m_thread = Core::start_thread("authority", [this] { run(); });
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
    return Core::elapsed(m_started, Core::monotonic_now());
}

void SideAuthority::run()
{
    LOG(INFO) << s_log_prefix << "serving " << m_settings.backend_server << " as incarnation "
              << Core::to_hex(m_incarnation.value());
    while (!m_should_stop) {
        wait_for_work();
        note_pause(Core::monotonic_now());
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
        suspend_for_higher_tiers();
        if (Core::elapsed(m_last_housekeeping, Core::monotonic_now()) >= s_housekeeping_interval)
            keep_house();
        m_loop_time = Core::monotonic_now();
    }
}

void SideAuthority::wait_for_work()
{
    auto timeout = s_housekeeping_interval;
    auto const wake = m_queue.visit([](auto const& queue) { return queue.next_wakeup(); });
    if (wake)
        timeout = std::clamp(Core::elapsed(Core::monotonic_now(), *wake) + Core::Milliseconds(1), Core::Milliseconds(0),
            s_housekeeping_interval);
    std::array<zmq::pollitem_t, 2> items {{
        {m_links.socket().handle(), 0, ZMQ_POLLIN, 0},
        {nullptr, m_wake.descriptor(), ZMQ_POLLIN, 0},
    }};
    Protocol::poll(items.data(), items.size(), timeout);
    m_wake.drain();
}

void SideAuthority::note_pause(Core::MonotonicTime time)
{
    if (Core::elapsed(m_loop_time, time) < s_pause_limit)
        return;
    // The process was stopped, or the host stood still. Entries may have given up what waits here and told
    // their callers so; their revocations are behind us in the sockets. Nothing starts until each entry
    // has answered, which it does behind everything it sent before.
    LOG(WARNING) << s_log_prefix << "stood still for " << Core::elapsed(m_loop_time, time).count()
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
    if (!is_everyone_confirmed && Core::elapsed(*m_challenged_at, time) < s_confirmation_patience)
        return false;
    m_challenged_at.reset();
    std::vector<Policy::AttemptKey> unconfirmed;
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

void SideAuthority::send_pong(std::string const& route)
{
    auto message = Protocol::make_envelope();
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
    load.set_mean_first_token_ms(Protocol::to_count(prediction.first_token));
    m_queue.visit([&load](auto const& queue) {
        auto const& limits = queue.limits();
        load.set_slots(limits.slots);
        load.set_queue_limit(limits.queue_limit);
        load.set_headroom_slots(limits.headroom_slots);
        load.set_running(static_cast<std::uint32_t>(queue.running_count()));
        load.set_mean_service_ms(Protocol::to_count(queue.mean_service()));
        for (unsigned tier = 1; tier <= Policy::s_tier_count; ++tier)
            load.add_waiting_by_tier(static_cast<std::uint32_t>(queue.waiting_count(tier)));
    });
}

void SideAuthority::expire_waiting()
{
    auto const time = Core::monotonic_now();
    auto const expired = m_queue.visit([&](auto& queue) { return queue.expire(time); });
    for (auto const& expiry : expired) {
        auto const wait = m_queue.visit([&](auto const& queue) { return queue.expected_wait(expiry.work.tier); });
        end_unstarted(expiry.work.key, to_message(expiry.refusal), std::max(wait, s_draining_retry_after));
    }
}

void SideAuthority::send_back_waiting()
{
    std::vector<Policy::AttemptKey> waiting;
    for (auto const& [key, attempt] : m_attempts) {
        if (attempt.state() == Attempt::State::Waiting)
            waiting.push_back(key);
    }
    for (auto const& key : waiting) {
        m_queue.visit([&](auto& queue) { queue.withdraw(key, Core::monotonic_now()); });
        end_unstarted(key, RefusalReason::REFUSAL_REASON_DRAINING, s_draining_retry_after);
    }
}

void SideAuthority::drop_silent_entries()
{
    auto const time = Core::monotonic_now();
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (Core::elapsed(entry->second.last_heard, time) < m_settings.entry_patience) {
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
    std::vector<Policy::AttemptKey> waiting;
    std::vector<Policy::AttemptKey> ended;
    for (auto& [key, attempt] : m_attempts) {
        if (attempt.entry_route() != route)
            continue;
        if (attempt.state() == Attempt::State::Waiting)
            waiting.push_back(key);
        if (attempt.state() == Attempt::State::Ended)
            ended.push_back(key);
        if (attempt.state() == Attempt::State::Suspended) {
            m_queue.visit([&, &key = key](auto& queue) { queue.withdraw(key, time); });
            ended.push_back(key);
        }
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
    auto const time = Core::monotonic_now();
    if (Core::elapsed(m_last_repeat, time) < s_repeat_interval)
        return;
    m_last_repeat = time;
    std::vector<Policy::AttemptKey> orphans;
    for (auto const& [key, attempt] : m_attempts) {
        if (attempt.state() != Attempt::State::Ended)
            continue;
        if (!m_entries.contains(attempt.entry_route()))
            orphans.push_back(key);
        else if (Core::elapsed(attempt.ended(), time) >= s_repeat_interval)
            m_links.send(attempt.entry_route(), *attempt.last_message());
    }
    for (auto const& key : orphans)
        m_attempts.erase(key);
}

void SideAuthority::keep_house()
{
    m_last_housekeeping = Core::monotonic_now();
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
