#pragma once

#include <LibCore/RecentGaps.h>
#include <LibCore/RunningTime.h>
#include <LibCore/Time.h>
#include <LibEntry/StateVersions.h>

#include <array>
#include <cstddef>
#include <optional>

namespace GraniteField::Entry {

/// What gateways report to each other about the platform's store.
struct StoreReport {
    /// Time of the last known report of an elected gateway with a healthy watch.
    std::optional<Core::MonotonicTime> elected_healthy_at;
    /// Time of the last known report of any gateway with a healthy watch.
    std::optional<Core::MonotonicTime> any_healthy_at;
    /// The newest versions known to any gateway.
    StateVersions versions;

    /// Adopts the newer parts of another report.
    void merge(StoreReport const& other);
};

/// What a gateway knows about how current its state is.
struct StoreKnowledge {
    /// The newest versions known to any gateway, this one included.
    StateVersions versions;
    /// When this gateway first received a report of that table.
    std::optional<Core::MonotonicTime> table_known_since;
    /// Time of the last report of a healthy watch, this gateway's included.
    std::optional<Core::MonotonicTime> last_healthy_at;
};

/// Decides whether this gateway watches the platform's store. Only a few gateways in each failure domain are elected to
/// watch, since the rate of calls that the store accepts does not grow with the fleet. The others rely on two reports,
/// which arrive with each load datagram: that some watch is healthy, and that no gateway has a newer version. A gateway
/// that misses either report for too long watches the store itself, whether the watchers are dead, hung or partitioned.
/// No I/O and no clock.
class WatchElection {
public:
    /// The watched objects, each with its own call.
    enum class Watch : std::size_t {
        Table,
        Servers,
        /// Only where the operators can drain failure domains.
        Drains,
    };
    static constexpr std::size_t s_watch_count = 3;

    /// Why this gateway watches.
    enum class DutyReason {
        None,
        Elected,
        /// No healthy watch was reported.
        Silence,
        /// A newer version is known to exist and was not received.
        Behind,
    };

    enum class DrainsWatch {
        No,
        Yes,
    };

    struct Settings {
        /// Time without a report of a healthy watch after which this gateway watches the store itself.
        Core::Milliseconds silence_timeout {1'000};
        /// Time after which a newer version that peers know of and that was not received is read from the store. Peers
        /// forward it within some 500 ms; reading it at every gateway would only delay that.
        Core::Milliseconds behind_timeout {700};
        /// Delay after the first failed call of a gateway that is behind. It doubles with each failure, up to the
        /// silence timeout.
        Core::Milliseconds min_retry_delay {100};
        /// Whether drains are watched.
        DrainsWatch drains {DrainsWatch::No};
    };

    /// Shortest time for which a gateway that was not elected watches, so that it does not start and stop repeatedly.
    static constexpr Core::Milliseconds s_min_duty_time {1'000};
    /// Age of a report up to which an elected watcher counts as healthy.
    static constexpr Core::Milliseconds s_max_report_age {400};
    /// Smallest advance of the time in a report that is adopted. A report that returns to a gateway that it came from
    /// seems younger by the delays on its way; adopting it would keep a dead watch healthy.
    static constexpr Core::Milliseconds s_min_report_advance {50};
    /// Time to wait for reports after a stall of this process: three intervals of the load exchange.
    static constexpr Core::Milliseconds s_min_report_wait {400};

    WatchElection(Settings settings, Core::MonotonicTime started_at)
        : m_settings(settings)
        , m_silent_since(started_at)
        , m_running(started_at)
    {
    }

    void set_elected(bool value);

    /// Records a tick of the thread that receives reports, due at intervals of RunningTime. Time in which that thread
    /// did not run is not counted: otherwise all gateways of a stalled or overloaded host would start to watch.
    void note_tick(Core::MonotonicTime now);

    enum class PeerDiscovery {
        NotFound,
        Found,
    };

    /// Records, with each tick, that this gateway has just started and that its peers may not know it yet. Until
    /// discovery ends it does not watch the store, and if it has found peers, their silence counts only from then on.
    void note_joining(PeerDiscovery, Core::MonotonicTime now);
    /// Records a report of another gateway.
    void note_report(StoreReport const&, Core::MonotonicTime now);
    /// Records the versions that this gateway has.
    void note_versions(StateVersions const&, Core::MonotonicTime now);

    /// Records a call that fails unless it is answered by `overdue_at`.
    void note_call(Watch, Core::MonotonicTime overdue_at);
    void note_answer(Watch);
    void note_failure(Watch, Core::MonotonicTime now);

    /// Whether this gateway's own watches are answered.
    [[nodiscard]] bool is_healthy(Core::MonotonicTime now) const;
    [[nodiscard]] StoreKnowledge knowledge(Core::MonotonicTime now) const;
    /// Whether another gateway has a newer version.
    [[nodiscard]] bool is_behind() const { return m_behind_since.has_value(); }
    /// The report for other gateways.
    [[nodiscard]] StoreReport report(Core::MonotonicTime now) const;

    /// Whether this gateway watches the store now.
    [[nodiscard]] bool is_on_duty(Core::MonotonicTime now);
    [[nodiscard]] DutyReason duty_reason() const;
    /// Time since the last report of a healthy watch.
    [[nodiscard]] Core::Milliseconds silence(Core::MonotonicTime now) const
    {
        return Core::elapsed(silent_since(), now);
    }
    /// Whether no healthy watch was reported for the silence timeout: the store itself may be unavailable.
    [[nodiscard]] bool is_store_suspected(Core::MonotonicTime now) const;
    /// Time in which the thread that receives reports did not run.
    [[nodiscard]] Core::Milliseconds stalled_time() const { return m_running.lost(); }
    /// Earliest time at which is_on_duty() may change without new input.
    [[nodiscard]] Core::MonotonicTime next_check(Core::MonotonicTime now) const;

private:
    struct Contact {
        bool is_answered {false};
        Core::MonotonicTime overdue_at;
    };

    [[nodiscard]] bool is_watched(Watch) const;
    /// Returns the report without times that may be echoes of the known ones.
    [[nodiscard]] StoreReport without_echo(StoreReport) const;
    /// Time of the last report of a healthy watch, moved forward by the time in which this process did not run.
    [[nodiscard]] Core::MonotonicTime silent_since() const;
    /// Time without a report of a healthy watch after which this gateway watches the store.
    [[nodiscard]] Core::Milliseconds silence_timeout() const;
    [[nodiscard]] Core::MonotonicTime suspicion_time() const;
    [[nodiscard]] std::optional<Core::MonotonicTime> behind_deadline() const;
    /// Discards the calls of an earlier time on duty.
    void reset_contacts() { m_contacts = {}; }

    Settings m_settings;
    bool m_is_elected {false};
    /// Time from which silence counts before the first report, and after a stall until the next report.
    Core::MonotonicTime m_silent_since;
    /// End of the wait for reports after a stall.
    Core::MonotonicTime m_report_wait_end;
    StoreReport m_received_report;
    Core::RunningTime m_running;
    /// Gaps between reports of healthy watches.
    Core::RecentGaps m_report_gaps;
    std::optional<Core::MonotonicTime> m_table_known_since;
    /// The versions of this gateway.
    StateVersions m_own;
    /// When a newer version was first reported, and that version.
    std::optional<Core::MonotonicTime> m_behind_since;
    StateVersions m_missing_versions;
    std::array<Contact, s_watch_count> m_contacts;
    /// When this gateway started to watch without being elected.
    std::optional<Core::MonotonicTime> m_took_over_at;
    DutyReason m_takeover_reason {DutyReason::None};
    /// Earliest time of the next call after a failed one, for a gateway that is not elected.
    Core::MonotonicTime m_earliest_retry;
    Core::Milliseconds m_retry_delay {m_settings.min_retry_delay};
};

[[nodiscard]] char const* to_string(WatchElection::DutyReason);

}
