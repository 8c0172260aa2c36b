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

/// The election of who watches the platform's store, shared by the threads of a gateway: those that follow the store
/// wait here for their turn, the peer exchange says who is elected, the exchange of loads carries the word.
class WatchDuty {
public:
    /// What a change is promised to hold after, where nobody says.
    static constexpr Core::Milliseconds s_apply_limit {3'000};

    /// `order` spreads the patience of the gateways: a number that each has of its own. `apply_limit` is the promised
    /// time within which a change holds everywhere. `drains` is null where no failure domain can be drained.
    WatchDuty(Core::Milliseconds contact_time, std::uint64_t order, SharedTable const&, SharedServers const&,
        Observe::EventLog&, Observe::MetricRegistry&, Core::Milliseconds apply_limit = s_apply_limit,
        SharedDrains const* drains = nullptr);

    /// Called with each turn of the peer exchange, so that a stall of this process is noticed.
    void set_elected(bool);
    /// What others told; also looks at what this gateway has.
    void note_word(StoreWord const&, Core::MonotonicTime now);
    [[nodiscard]] StoreWord word(Core::MonotonicTime now);
    /// What is known of how current this gateway is. Any thread.
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
    /// Wakes the followers where what was noted lets them look sooner than they would.
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
    bool m_was_on_duty {false};
    bool m_is_stopped {false};
    /// When the followers that wait for their turn look next.
    Core::MonotonicTime m_next_look {Core::MonotonicTime::max()};
};

}
