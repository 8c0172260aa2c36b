#include "Signals.h"

#include <string>

#include <glog/logging.h>

namespace GraniteField::Daemon {

namespace {

constexpr Core::Milliseconds s_stop_interval {60'000};

}

void wait_for_stop(SignalWait const& wait)
{
    while (true) {
        auto const signal = wait(s_stop_interval);
        if (signal == Signal::Stop)
            return;
        if (signal == Signal::Reload)
            LOG(WARNING) << "daemon: this role reads its settings only at its start";
    }
}

Core::ListenRetry::Events listen_events(SignalWait const& wait, Observe::EventLog* log)
{
    Core::ListenRetry::Events events;
    events.pause = [wait, log](Core::Milliseconds limit) {
        auto const signal = wait(limit);
        if (!signal)
            return;
        // The announcement of the next start is still to be the first line.
        if (log != nullptr && signal == Signal::Reload)
            log->discard_held();
        throw StartInterrupted {*signal};
    };
    events.on_waiting = [log](Core::Address const& address, std::string const& reason) {
        LOG(WARNING) << "daemon: waiting to listen on " << address.to_string() << ": " << reason;
        if (log != nullptr)
            log->write(Observe::LogEvent("listen-waiting").add("address", address.to_string()).add("reason", reason));
    };
    events.on_listening = [log](Core::Address const& address, Core::Milliseconds waited) {
        LOG(INFO) << "daemon: listening on " << address.to_string() << " after " << waited.count() << " ms";
        if (log != nullptr)
            log->write(Observe::LogEvent("listen-begun").add("address", address.to_string()).add("after_ms", waited));
    };
    return events;
}

}
