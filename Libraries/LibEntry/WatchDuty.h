#pragma once

#include <LibCore/Time.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedServers.h>
#include <LibEntry/SharedTable.h>
#include <LibEntry/WatchElection.h>
#include <LibObserve/EventLog.h>
#include <LibPlatform/ObjectFollower.h>

#include <condition_variable>
#include <functional>
#include <mutex>

namespace GraniteField::Entry {

/// Connects WatchElection to the threads of a gateway: followers of the store wait here until this gateway is on duty,
/// the peer exchange sets whether it is elected, and the load exchange passes the reports of other gateways.
class WatchDuty {
public:
    /// Default of the time within which a change must be in force.
    static constexpr Core::Milliseconds s_apply_limit {3'000};

    /// Time without a report of a healthy watch after which the first gateways take over.
    [[nodiscard]] static Core::Milliseconds min_silence_timeout(Core::Milliseconds contact_time);

    /// `contact_time` is the time within which a process that can reach the store is up to date with it. `order`
    /// differs between gateways and spreads their timeouts. `apply_limit` is the time within which a change must be in
    /// force everywhere. `drains` is null if failure domains cannot be drained.
    WatchDuty(Core::Milliseconds contact_time, std::uint64_t order, SharedTable const&, SharedServers const&,
        Observe::EventLog&, Observe::MetricRegistry&, Core::Milliseconds apply_limit = s_apply_limit,
        SharedDrains const* drains = nullptr);

    /// Called with each tick of the peer exchange.
    void set_elected(bool);
    /// Records that this gateway has just started, and that its peers may not know it yet.
    void note_joining(WatchElection::PeerDiscovery, Core::MonotonicTime now);
    /// Records a report of another gateway, and the versions of this one. Called with each tick of the load exchange.
    void note_report(StoreReport const&, Core::MonotonicTime now);
    [[nodiscard]] StoreReport report(Core::MonotonicTime now);
    /// Returns how current the state of this gateway is. Any thread.
    [[nodiscard]] StoreKnowledge knowledge(Core::MonotonicTime now);
    /// Whether this gateway follows the store itself. Any thread.
    [[nodiscard]] bool follows_store();
    /// Ends all current and later waits.
    void stop();

    /// Interface for one follower of the store (Platform::FollowerTurns).
    class Follower {
    public:
        Follower(WatchDuty& duty, WatchElection::Watch watch)
            : m_duty(duty)
            , m_watch(watch)
        {
        }

        /// Blocks until this gateway is on duty or the follower is to stop.
        [[nodiscard]] Platform::FollowerTurn wait_for_turn();
        void note_call(Core::Milliseconds limit);
        void note_answer();
        void note_failure();
        void stop() { m_duty.get().stop(); }

    private:
        std::reference_wrapper<WatchDuty> m_duty;
        WatchElection::Watch m_watch;
        bool m_has_started {false};
    };

private:
    /// Wakes waiting followers if their next check is now due earlier.
    void wake_if_earlier(Core::MonotonicTime now);
    void record_versions(Core::MonotonicTime now);
    void log_duty_change(bool is_on_duty, Core::MonotonicTime now);

    SharedTable const& m_table;
    SharedServers const& m_servers;
    SharedDrains const* m_drains;
    Observe::EventLog& m_log;
    Observe::Gauge& m_watching;
    std::mutex m_mutex;
    std::condition_variable m_signal;
    WatchElection m_election;
    bool m_is_elected {false};
    /// Set once the thread of the load exchange has passed a report.
    bool m_receives_reports {false};
    bool m_was_on_duty {false};
    bool m_is_stopped {false};
    /// Time of the next check by the waiting followers.
    Core::MonotonicTime m_next_check {Core::MonotonicTime::max()};
};

}
