#pragma once

#include <LibCluster/SharedDuty.h>
#include <LibCore/Time.h>
#include <LibGateway/BackendView.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// Counts streams whose connection broke before the first event. An engine that is alive has lost only the answer and
/// runs them; a dead one does not. They are counted after a delay in which gateways probe the engine again. Without
/// them usage reports fall short where engines lose answers. On the gateway's thread.
class UnconfirmedRuns {
public:
    /// Delay before a run is counted. The finding of one gateway reaches all others within 150 ms; a busy engine is
    /// retried at once.
    static constexpr Core::Milliseconds s_confirmation_delay {300};

    /// `is_counted` belongs to the request and is shared with a run that continues on another server.
    void add(std::shared_ptr<BackendView> server, std::string workspace, std::shared_ptr<bool> is_counted,
        Core::MonotonicTime now)
    {
        m_runs.push_back({std::move(server), std::move(workspace), std::move(is_counted), now});
    }

    /// Handles the runs whose delay is over: counts those whose servers are alive and drops the others.
    void count_confirmed(Cluster::SharedDuty& usage, Core::MonotonicTime now)
    {
        std::erase_if(m_runs, [&](Run const& run) {
            if (Core::elapsed(run.broken_at, now) < s_confirmation_delay)
                return false;
            bool const is_alive = !run.server->suspected_since() && run.server->is_listed();
            if (is_alive && !std::exchange(*run.is_counted, true))
                usage.count(run.workspace, now);
            return true;
        });
    }

private:
    struct Run {
        std::shared_ptr<BackendView> server;
        std::string workspace;
        std::shared_ptr<bool> is_counted;
        Core::MonotonicTime broken_at;
    };

    std::vector<Run> m_runs;
};

}
