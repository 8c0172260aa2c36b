#pragma once

#include <LibCluster/DutyRecord.h>
#include <LibCluster/SharedDuty.h>
#include <LibCore/Time.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>
#include <LibPlatform/Objects.h>

#include <algorithm>
#include <concepts>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace GraniteField::Cluster {

/// The store of the lease: an object store with versions and conditional writes (Platform::ObjectClient).
template <typename Candidate>
concept LeaseStore
    = requires(Candidate store, std::string_view name, Platform::ObjectVersion version, Platform::Json const& spec)
{
    {
        store.read(name, name)
        } -> std::same_as<std::optional<Platform::Object>>;
    {
        store.create(name, name, spec)
        } -> std::same_as<Platform::ObjectVersion>;
    {
        store.update(name, name, version, spec)
        } -> std::same_as<Platform::ObjectVersion>;
};

/// Result of sending a report.
enum class ReportOutcome {
    Accepted,
    /// Rejected by a rate limit; to be sent again after the call interval.
    OverRate,
    /// Rejected, since the recipient has seen the token of a later holder.
    Outdated,
    /// Rejected, lost or timed out; the recipient may have accepted it.
    Failed,
};

/// Identifies the holder in calls to the recipient.
struct DutyCredentials {
    std::string holder;
    std::uint64_t token {0};
};

/// Receives usage reports; send() returns the outcome within the time limit.
template <typename Candidate>
concept ReportRecipient = requires(
    Candidate recipient, UsageReport const& report, DutyCredentials const& credentials, Core::Milliseconds limit)
{
    {
        recipient.send(report, credentials, limit)
        } -> std::same_as<ReportOutcome>;
};

/// Timeouts of the duty of reporting usage.
struct DutySettings {
    /// Name of this host, as reports give it, and the address that distinguishes it from another host of the same name.
    std::string name;
    std::string address;
    /// Time after a write during which only the holder may act.
    Core::Milliseconds lease {3'000};
    /// Safety margin by which the holder stops acting earlier, since the process may be suspended between reading the
    /// clock and sending.
    Core::Milliseconds lease_margin {500};
    Core::Milliseconds call_timeout {800};
    /// Minimum time between two calls to the recipient, which bounds the call rate of all gateways together.
    Core::Milliseconds min_call_interval {200};
    /// Time without a sign of life from the holder after which this gateway reads the store. The holder announces
    /// itself each 100 ms, and replacing a failed relay takes 350 ms.
    Core::Milliseconds holder_timeout {800};
    /// Additional delay of gateways that do not watch the store, which leave the duty to those that do.
    Core::Milliseconds non_watcher_delay {2'500};
    /// Time after its start during which a gateway leaves the duty to others, since it may lack counts of the open
    /// windows.
    Core::Milliseconds startup_period {5'000};
};

/// Takes part in the duty of reporting usage, which one gateway holds at a time. One object in the platform's store
/// (DutyRecord) decides which:
///
/// - A holder acts for at most the length of the lease, measured on its own clock from before it sent its last write.
/// - A successor writes only if the version that it replaces has not changed for the length of the lease on its own
///   clock, or if the holder has released the lease. So no two gateways act at once, and none acts with a token lower
///   than one already used.
/// - A report is stored in the object before it is sent, in the same write that renews the lease, and a successor sends
///   the same text. So two different reports for one window are never sent, even if messages are lost or late.
///
/// Nothing is written while there is nothing to report: one write for each window replaces three renewals.
/// Runs on one thread; the caller provides the clock, the store and the recipient.
template <LeaseStore Store, ReportRecipient Recipient>
class UsageReporter {
public:
    static constexpr std::string_view s_kind = "granitefield-duties";
    static constexpr std::string_view s_name = "usage";
    /// Time between two steps while there is nothing to do.
    static constexpr Core::Milliseconds s_interval {200};
    /// Delay after a failed call to the store; it doubles up to the maximum.
    static constexpr Core::Milliseconds s_min_backoff {200};
    static constexpr Core::Milliseconds s_max_backoff {1'000};
    /// Time after which a holder whose reports fail releases the lease, since another gateway may reach the recipient.
    static constexpr Core::Milliseconds s_max_failing_time {2'500};
    /// Time during which it does not acquire the lease again.
    static constexpr Core::Milliseconds s_release_cooldown {4'000};
    /// Time without contact to the store after which a holder no longer announces itself.
    static constexpr Core::Milliseconds s_max_store_silence {1'500};

    using Clock = std::function<Core::MonotonicTime()>;

    /// `order`, from 0 to 1, spreads the gateways' timeouts.
    UsageReporter(DutySettings settings, std::uint64_t incarnation, double order, Clock clock, SharedDuty& shared,
        Store& store, Recipient& recipient, Observe::EventLog& log, Observe::MetricRegistry& metrics)
        : m_settings(std::move(settings))
        , m_own_id(m_settings.name + "@" + m_settings.address)
        , m_incarnation(incarnation)
        , m_spread(std::chrono::duration_cast<Core::Milliseconds>(m_settings.holder_timeout * order))
        , m_clock(std::move(clock))
        , m_shared(shared)
        , m_store(store)
        , m_recipient(recipient)
        , m_log(log)
        , m_holding(metrics.gauge("granitefield_duty_holding"))
        , m_store_calls(metrics.counter("granitefield_duty_store_calls_total"))
        , m_accepted(metrics.counter("granitefield_usage_reports_total", {{"outcome", "accepted"}}))
        , m_missed(metrics.counter("granitefield_usage_reports_total", {{"outcome", "missed"}}))
        , m_started(m_clock())
    {
    }

    /// Sets whether this gateway is one of the few that watch the store.
    void set_watching(bool value) { m_is_watching = value; }

    /// Makes at most one call and returns the time until the next step.
    Core::Milliseconds step()
    {
        if (m_is_stopped)
            return s_interval;
        auto const now = m_clock();
        try {
            auto const pause = m_term ? act_as_holder(now) : look_for_lease(now);
            m_store_backoff = s_min_backoff;
            return pause;
        } catch (Platform::VersionConflict const&) {
            // Another gateway has written, or one of this gateway's own writes took effect late.
            m_must_read = true;
            return Core::Milliseconds(0);
        } catch (Platform::PlatformUnavailable const& error) {
            // The call may have taken effect, or may still do so.
            m_must_read = true;
            note_store_failure(error.what(), m_clock());
            auto const pause = m_store_backoff;
            m_store_backoff = std::min(m_store_backoff * 2, s_max_backoff);
            return pause;
        }
    }

    /// Releases the lease for a planned stop, so that another gateway can acquire it at once. No step does anything
    /// afterwards.
    void release()
    {
        m_is_stopped = true;
        if (!m_term || !m_known)
            return;
        try {
            if (m_must_read)
                read();
            if (m_term)
                release_lease("stopping");
        } catch (std::runtime_error const& error) {
            m_log.write(Observe::LogEvent("duty-release-failed").add("reason", error.what()));
        }
    }

    [[nodiscard]] bool is_holding() const { return m_term.has_value(); }

private:
    /// The object as it was last read or written.
    struct KnownObject {
        Platform::ObjectVersion version;
        DutyRecord record;
        /// When it was seen, which is never before that version was written.
        Core::MonotonicTime seen;
    };

    struct Term {
        std::uint64_t token {0};
        /// The holder acts only before this time.
        Core::MonotonicTime valid_until;
        Core::MonotonicTime reached_store;
    };

    // Steps of the holder.

    Core::Milliseconds act_as_holder(Core::MonotonicTime now)
    {
        if (m_must_read) {
            read();
            return Core::Milliseconds(0);
        }
        announce_alive(now);
        drop_late_reports(now);
        auto const fresh = m_shared.settled_reports(m_known->record.recorded_through, now);
        auto* const unaccepted = first_unaccepted();
        bool const can_send = now < m_term->valid_until;
        if (!fresh.empty() || (unaccepted != nullptr && !can_send && now >= m_next_send)) {
            renew(fresh, now);
            return Core::Milliseconds(0);
        }
        if (unaccepted == nullptr)
            return s_interval;
        if (now < m_next_send)
            return Core::elapsed(now, m_next_send) + Core::Milliseconds(1);
        return send_report(*unaccepted);
    }

    void renew(std::vector<UsageReport> const& fresh, Core::MonotonicTime now)
    {
        auto record = m_known->record;
        record.token = m_term->token;
        for (auto const& report : fresh) {
            record.reports.push_back({report});
            record.recorded_through = report.window;
        }
        write(std::move(record), now);
        for (auto const& report : fresh) {
            m_log.write(Observe::LogEvent("usage-recorded")
                            .add("window", report.window.value())
                            .add("workspaces", report.counts.size())
                            .add("requests", total_of(report.counts)));
        }
        m_term->valid_until = now + m_settings.lease - m_settings.lease_margin;
    }

    Core::Milliseconds send_report(RecordedReport& recorded)
    {
        auto const now = m_clock();
        auto const limit = std::min(m_settings.call_timeout, Core::elapsed(now, m_term->valid_until));
        if (limit.count() <= 0)
            return Core::Milliseconds(0);
        ++m_attempt_count;
        auto const outcome = m_recipient.send(recorded.report, {m_settings.name, m_term->token}, limit);
        auto const after = m_clock();
        m_next_send = after + m_settings.min_call_interval;
        m_log.write(Observe::LogEvent("usage-sent")
                        .add("window", recorded.report.window.value())
                        .add("requests", total_of(recorded.report.counts))
                        .add("token", m_term->token)
                        .add("try", m_attempt_count)
                        .add("outcome", to_text(outcome))
                        .add("took_ms", Core::elapsed(now, after)));
        switch (outcome) {
        case ReportOutcome::Accepted:
            recorded.is_accepted = true;
            m_accepted.add();
            m_failing_since.reset();
            m_attempt_count = 0;
            break;
        case ReportOutcome::Outdated:
            drop_lease("the recipient has seen the token of a later holder");
            m_must_read = true;
            break;
        case ReportOutcome::OverRate:
            break;
        case ReportOutcome::Failed:
            note_failed_report(after);
            break;
        }
        return Core::Milliseconds(0);
    }

    void note_failed_report(Core::MonotonicTime now)
    {
        if (!m_failing_since)
            m_failing_since = now;
        if (Core::elapsed(*m_failing_since, now) < s_max_failing_time)
            return;
        m_failing_since.reset();
        m_next_check = now + s_release_cooldown;
        release_lease("sending reports keeps failing");
    }

    void release_lease(std::string_view reason)
    {
        auto record = m_known->record;
        record.token = m_term->token;
        record.is_released = true;
        auto const token = m_term->token;
        write(std::move(record), m_clock());
        drop_lease(reason);
        m_log.write(Observe::LogEvent("duty-released").add("token", token).add("reason", reason));
    }

    /// Removes reports that are past their deadline, after which they are of no use.
    void drop_late_reports(Core::MonotonicTime now)
    {
        std::erase_if(m_known->record.reports, [&](auto const& recorded) {
            auto const left = m_shared.time_left(recorded.report.window, now);
            bool const is_late = left && left->count() <= 0;
            if (is_late && !recorded.is_accepted) {
                m_missed.add();
                m_log.write(Observe::LogEvent("usage-missed")
                                .add("window", recorded.report.window.value())
                                .add("tries", m_attempt_count));
            }
            return is_late;
        });
    }

    [[nodiscard]] RecordedReport* first_unaccepted()
    {
        auto& reports = m_known->record.reports;
        auto const found = std::ranges::find_if(reports, [](auto const& recorded) { return !recorded.is_accepted; });
        return found == reports.end() ? nullptr : &*found;
    }

    void announce_alive(Core::MonotonicTime now)
    {
        if (Core::elapsed(m_term->reached_store, now) > s_max_store_silence && m_store_failing)
            return;
        m_shared.merge_status({m_known->version.value(), m_known->seen, now, false});
    }

    // Steps of a candidate.

    Core::Milliseconds look_for_lease(Core::MonotonicTime now)
    {
        auto const status = m_shared.status();
        if (now < m_next_check || !is_holder_missing(status, now))
            return s_interval;
        bool const is_newer = !m_known || status.version > m_known->version.value();
        if (is_newer || m_must_read) {
            read();
            return Core::Milliseconds(0);
        }
        if (status.version == m_known->version.value())
            m_known->seen = std::min(m_known->seen, status.version_seen);
        auto const acquirable_at = acquirable_from();
        if (now < acquirable_at)
            return std::min(s_interval, Core::elapsed(now, acquirable_at) + Core::Milliseconds(1));
        acquire_lease(now);
        return Core::Milliseconds(0);
    }

    [[nodiscard]] bool is_holder_missing(DutyStatus const& status, Core::MonotonicTime now) const
    {
        auto delay = m_spread;
        if (!m_is_watching)
            delay += m_settings.non_watcher_delay;
        if (Core::elapsed(m_started, now) < m_settings.startup_period)
            delay += m_settings.holder_timeout;
        if (status.is_released)
            return Core::elapsed(status.version_seen, now) >= delay - m_settings.holder_timeout / 2;
        auto const last_alive = std::max(status.last_alive.value_or(m_started), m_started);
        return Core::elapsed(last_alive, now) >= m_settings.holder_timeout + delay;
    }

    /// Returns the time from which no other gateway can act under the known version.
    [[nodiscard]] Core::MonotonicTime acquirable_from() const
    {
        auto const& record = m_known->record;
        bool const was_held_by_this_host = record.holder == m_own_id;
        bool const is_free = record.holder.empty() || was_held_by_this_host
            || (record.is_released && !record.was_held_recently_by(m_own_id));
        return is_free ? m_known->seen : m_known->seen + m_settings.lease;
    }

    void acquire_lease(Core::MonotonicTime now)
    {
        auto record = m_known->record;
        auto const before = record.holder;
        record.hand_over(m_own_id, m_incarnation);
        write(std::move(record), now);
        start_term(m_known->version.value(), now + m_settings.lease - m_settings.lease_margin, before);
    }

    void start_term(std::uint64_t token, Core::MonotonicTime valid_until, std::string const& before)
    {
        m_term = Term {token, valid_until, m_clock()};
        m_failing_since.reset();
        m_attempt_count = 0;
        m_holding.set(1);
        m_log.write(Observe::LogEvent("duty-taken").add("token", token).add("before", before));
    }

    void drop_lease(std::string_view reason)
    {
        m_log.write(Observe::LogEvent("duty-lost").add("token", m_term->token).add("reason", reason));
        m_term.reset();
        m_holding.set(0);
    }

    // Access to the lease object.

    void read()
    {
        m_store_calls.add();
        auto const object = m_store.read(s_kind, s_name);
        auto const now = m_clock();
        note_store_answer(now);
        if (!object) {
            m_known = KnownObject {Platform::ObjectVersion(), {}, now};
            return;
        }
        auto record = decode_duty_record(object->spec);
        if (!record) {
            m_log.write(Observe::LogEvent("duty-unreadable").add("version", object->version.value()));
            m_next_check = now + s_release_cooldown;
            if (m_term)
                drop_lease("the lease can't be read");
            return;
        }
        bool const is_same = m_known && m_known->version == object->version;
        auto const seen = is_same ? m_known->seen : now;
        apply_known({object->version, *std::move(record), seen});
    }

    void apply_known(KnownObject known)
    {
        bool const is_own = known.record.holder == m_own_id && known.record.term == m_incarnation;
        if (m_term && !is_own)
            drop_lease("another host has acquired the lease");
        m_known = std::move(known);
        auto const& record = m_known->record;
        m_shared.merge_status({m_known->version.value(), m_known->seen, std::nullopt, record.is_released});
        if (m_term && record.is_released)
            drop_lease("the lease was released");
        if (!is_own || record.is_released)
            return;
        // An earlier write took effect but its answer was lost, and the time of that write is unknown. The holder may
        // act only after its next write.
        auto const token = record.token == 0 ? m_known->version.value() : record.token;
        if (!m_term)
            start_term(token, m_clock(), "unknown, the answer to the write was lost");
        m_term->valid_until = m_clock();
    }

    void write(DutyRecord record, Core::MonotonicTime now)
    {
        ++record.renewal;
        m_store_calls.add();
        auto const spec = encode_duty_record(record);
        auto const version = m_known->version == Platform::ObjectVersion()
            ? m_store.create(s_kind, s_name, spec)
            : m_store.update(s_kind, s_name, m_known->version, spec);
        auto const after = m_clock();
        note_store_answer(after);
        m_known = KnownObject {version, std::move(record), after};
        m_shared.merge_status({version.value(), after, now, m_known->record.is_released});
    }

    void note_store_answer(Core::MonotonicTime now)
    {
        m_must_read = false;
        m_store_failing = false;
        if (m_term)
            m_term->reached_store = now;
    }

    void note_store_failure(std::string_view reason, Core::MonotonicTime now)
    {
        if (!std::exchange(m_store_failing, true))
            m_log.write(Observe::LogEvent("duty-store-lost").add("holds", m_term.has_value()).add("reason", reason));
        if (m_term && now >= m_term->valid_until && Core::elapsed(m_term->reached_store, now) > s_max_store_silence)
            drop_lease("the store is unreachable");
        if (!m_term)
            m_next_check = now + m_settings.holder_timeout;
    }

    [[nodiscard]] static std::string_view to_text(ReportOutcome outcome)
    {
        switch (outcome) {
        case ReportOutcome::Accepted:
            return "accepted";
        case ReportOutcome::OverRate:
            return "over_rate";
        case ReportOutcome::Outdated:
            return "outdated";
        case ReportOutcome::Failed:
            return "failed";
        }
        return "failed";
    }

    DutySettings m_settings;
    std::string m_own_id;
    std::uint64_t m_incarnation;
    Core::Milliseconds m_spread;
    Clock m_clock;
    SharedDuty& m_shared;
    Store& m_store;
    Recipient& m_recipient;
    Observe::EventLog& m_log;
    Observe::Gauge& m_holding;
    Observe::Counter& m_store_calls;
    Observe::Counter& m_accepted;
    Observe::Counter& m_missed;
    Core::MonotonicTime m_started;
    bool m_is_watching {false};
    bool m_is_stopped {false};
    std::optional<KnownObject> m_known;
    std::optional<Term> m_term;
    /// The content of the store is unknown.
    bool m_must_read {false};
    bool m_store_failing {false};
    Core::Milliseconds m_store_backoff {s_min_backoff};
    Core::MonotonicTime m_next_check;
    Core::MonotonicTime m_next_send;
    std::optional<Core::MonotonicTime> m_failing_since;
    unsigned m_attempt_count {0};
};

}
