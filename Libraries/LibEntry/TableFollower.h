#pragma once

#include <LibCore/Address.h>
#include <LibEntry/Router.h>
#include <LibEntry/SharedTable.h>
#include <LibPlatform/TableStore.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace GraniteField::Entry {

/// Keeps the table in step with the platform: reads it, then waits on a watch, on a thread of its own. When
/// the platform is down, the last table stays in force, and tries come less and less often.
class TableFollower {
public:
    struct Settings {
        Core::Address platform;
        Core::Milliseconds call_timeout {2'000};
        /// How long one watch waits for a change.
        Core::Milliseconds watch_wait {20'000};
        Core::Milliseconds shortest_pause {100};
        Core::Milliseconds longest_pause {5'000};
    };

    TableFollower(Settings, SharedTable&, Router&, Observe::MetricRegistry&);
    ~TableFollower();
    TableFollower(TableFollower const&) = delete;
    TableFollower& operator=(TableFollower const&) = delete;

private:
    void run();
    void offer(Table::Table);
    void pause();

    Settings m_settings;
    SharedTable& m_table;
    Router& m_router;
    Observe::MetricRegistry& m_metrics;
    Platform::ObjectClient m_client;
    Platform::TableStore m_store;
    Core::Milliseconds m_next_pause;
    std::mutex m_mutex;
    std::condition_variable m_stop_signal;
    std::atomic<bool> m_should_stop {false};
    std::thread m_thread;
};

}
