#pragma once

#include <LibCore/Time.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>

#include <exception>
#include <string>

namespace GraniteField::Observe {

/// Counts and logs exceptions that nobody expected, in a thread that repeats its task and goes on with the next round.
/// For one thread.
class UnexpectedFailures {
public:
    /// Time until the next round.
    static constexpr Core::Milliseconds s_pause {500};

    UnexpectedFailures(std::string thread, EventLog&, MetricRegistry&);

    /// Logs the failure unless its message is that of the one before.
    void note(std::exception const&);

private:
    std::string m_thread;
    EventLog& m_log;
    Counter& m_count;
    std::string m_logged;
};

}
