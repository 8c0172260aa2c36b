#pragma once

#include <LibCore/Backoff.h>
#include <LibEntry/PeerExchange.h>
#include <LibEntry/PlatformSettings.h>
#include <LibEntry/SharedDrains.h>
#include <LibPlatform/ObjectClient.h>

#include <functional>
#include <thread>

namespace GraniteField::Entry {

/// Reads the list of backend servers in the platform's store now and then, for those that are leaving, on a thread of
/// its own, in the entries that watch the platform. The list lags; a side process's own word and the data path are
/// heard before it.
class HostFollower {
public:
    /// `on_update` is called on this thread when there is a newer list.
    HostFollower(PlatformSettings const&, SharedDrains&, PeerExchange&, std::function<void()> on_update,
        Observe::MetricRegistry&);
    ~HostFollower();
    HostFollower(HostFollower const&) = delete;
    HostFollower& operator=(HostFollower const&) = delete;

private:
    void run();
    void read_list();

    Core::Milliseconds m_interval;
    SharedDrains& m_drains;
    PeerExchange& m_peers;
    std::function<void()> m_on_update;
    Observe::MetricRegistry& m_metrics;
    Platform::ObjectClient m_client;
    Core::Backoff m_backoff;
    std::thread m_thread;
};

}
