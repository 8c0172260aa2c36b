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

/// The election of the gateways that watch the platform's store, shared by the threads of a gateway: followers of the
/// store wait here until this gateway is on duty, the peer exchange sets whether it is elected, the exchange of loads
/// carries the reports.
class WatchDuty {
public:
    /// Default of the time within which a change must be in force.
    static constexpr Core::Milliseconds s_apply_limit {3'000};

    /// `order` differs between gateways and spreads their silence timeouts. `apply_limit` is the time within which a
    /// change must be in force everywhere. `drains` is null if failure domains cannot be drained.
    WatchDuty(Core::Milliseconds contact_time, std::uint64_t order, SharedTable const&, SharedServers const&,
        Observe::EventLog&, Observe::MetricRegistry&, Core::Milliseconds apply_limit = s_apply_limit,
        SharedDrains const* drains = nullptr);

    /// Called with each tick of the peer exchange.
    void set_elected(bool);
    /// This gateway has just started, and the others may not know it yet.
    void note_joining(WatchElection::PeerDiscovery, Core::MonotonicTime now);
    /// Takes a report of another gateway, and looks at the versions of this one. Called with each tick of the exchange
    /// of loads.
    void note_report(StoreReport const&, Core::MonotonicTime now);
    [[nodiscard]] StoreReport report(Core::MonotonicTime now);
    /// What this gateway knows about how current its state is. Any thread.
    [[nodiscard]] StoreKnowledge knowledge(Core::MonotonicTime now);
    /// Whether this gateway follows the store itself. Any thread.
    [[nodiscard]] bool follows_store();
    /// Ends all waits, now and later.
    void stop();

    /// A follower's part in it (FollowerTurns).
    class Follower {
    public:
        Follower(WatchDuty& duty, WatchElection::Watch watch)
            : m_duty(duty)
            , m_watch(watch)
        {
        }

        /// Waits until the store is to be asked.
        [[nodiscard]] Platform::FollowerTurn wait_for_turn();
        void note_call(Core::Milliseconds limit);
        void note_answer();
        void note_failure();
        void stop() { m_duty.get().stop(); }

    private:
        std::reference_wrapper<WatchDuty> m_duty;
        WatchElection::Watch m_watch;
        bool m_has_begun {false};
    };

private:
    /// Wakes the followers if they need to look earlier than planned.
    void wake_if_sooner(Core::MonotonicTime now);
    void look_at_versions(Core::MonotonicTime now);
    void tell_change(bool is_on_duty, Core::MonotonicTime now);

    SharedTable const& m_table;
    SharedServers const& m_servers;
    SharedDrains const* m_drains;
    Observe::EventLog& m_log;
    Observe::Gauge& m_watching;
    std::mutex m_mutex;
    std::condition_variable m_signal;
    WatchElection m_election;
    bool m_is_elected {false};
    /// There is an exchange of loads, whose thread takes the reports.
    bool m_takes_reports {false};
    bool m_was_on_duty {false};
    bool m_is_stopped {false};
    /// When the followers that wait for their turn look next.
    Core::MonotonicTime m_next_check {Core::MonotonicTime::max()};
};

}
