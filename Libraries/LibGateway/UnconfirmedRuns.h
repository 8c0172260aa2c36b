#pragma once

#include <LibCluster/SharedDuty.h>
#include <LibCore/Time.h>
#include <LibGateway/BackendView.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace GraniteField::Gateway {

/// Streams whose connection broke before their first event. Where the engine lives it has lost only the answer and runs
/// them; where it has died it runs none. Which of the two it was is known a moment later, when gateways have tried to
/// reach it again: only then they are counted. Guards against reports that fall short where engines lose answers. On
/// the gateway's thread.
class UnconfirmedRuns {
public:
    /// What one gateway meets at a server is known to all within 150 ms; a busy engine is tried at once.
    static constexpr Core::Milliseconds s_confirmation_delay {300};

    /// `is_counted` is the request's own, shared with the run that may go on elsewhere.
    void add(std::shared_ptr<BackendView> server, std::string workspace, std::shared_ptr<bool> is_counted,
        Core::MonotonicTime now)
    {
        m_runs.push_back({std::move(server), std::move(workspace), std::move(is_counted), now});
    }

    /// Counts those whose servers have proved alive.
    void settle(Cluster::SharedDuty& usage, Core::MonotonicTime now)
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
