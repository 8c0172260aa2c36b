#pragma once

#include <LibCore/Backoff.h>
#include <LibEntry/PeerExchange.h>
#include <LibEntry/PlatformSettings.h>
#include <LibEntry/SharedTable.h>
#include <LibPlatform/TableStore.h>

#include <functional>
#include <thread>

namespace GraniteField::Entry {

/// Follows the table in the platform's store on a thread of its own: reads it, then waits on a watch. Only the entries
/// that PeerExchange elects do so; the others receive it from their peers. While the platform is down, the last table
/// stays in force and calls are retried with backoff.
class TableFollower {
public:
    /// `on_update` is called on this thread when there is a newer table.
    TableFollower(PlatformSettings const&, SharedTable&, PeerExchange&, std::function<void()> on_update,
        Observe::MetricRegistry&);
    ~TableFollower();
    TableFollower(TableFollower const&) = delete;
    TableFollower& operator=(TableFollower const&) = delete;

private:
    void run();
    void follow_once();
    void offer(Table::Table);

    Core::Milliseconds m_watch_wait;
    Core::Milliseconds m_idle_interval;
    SharedTable& m_table;
    PeerExchange& m_peers;
    std::function<void()> m_on_update;
    Observe::MetricRegistry& m_metrics;
    Platform::ObjectClient m_client;
    Platform::TableStore m_store;
    bool m_has_read {false};
    Core::Backoff m_backoff;
    std::thread m_thread;
};

}
