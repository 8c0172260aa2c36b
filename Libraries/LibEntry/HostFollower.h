#pragma once

#include <LibCore/Backoff.h>
#include <LibEntry/PeerExchange.h>
#include <LibEntry/PlatformSettings.h>
#include <LibEntry/SharedDrains.h>
#include <LibPlatform/ObjectClient.h>
#include <LibPlatform/UnreadableNames.h>

#include <functional>
#include <thread>

namespace GraniteField::Entry {

/// Periodically reads the list of backend servers from the platform's store to find those that are leaving. Runs on its
/// own thread, in the entries that watch the platform. The list lags behind: a side process's own announcement and
/// failures of requests are noticed earlier.
class HostFollower {
public:
    /// Calls `on_update` on its thread when the list has changed.
    HostFollower(PlatformSettings const&, SharedDrains&, PeerExchange&, std::function<void()> on_update,
        Observe::MetricRegistry&);
    ~HostFollower();
    HostFollower(HostFollower const&) = delete;
    HostFollower& operator=(HostFollower const&) = delete;

private:
    void run();
    void read_list();
    /// Counts an entry that can't be read, and logs it once.
    void note_unreadable(std::string_view name, std::string_view reason);

    Core::Milliseconds m_interval;
    SharedDrains& m_drains;
    PeerExchange& m_peers;
    std::function<void()> m_on_update;
    Observe::MetricRegistry& m_metrics;
    Platform::ObjectClient m_client;
    Platform::UnreadableNames m_unreadable;
    Core::Backoff m_backoff;
    std::thread m_thread;
};

}
