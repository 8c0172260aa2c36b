#pragma once

#include <LibCore/ListenRetry.h>
#include <LibCore/Time.h>
#include <LibObserve/EventLog.h>

#include <functional>
#include <optional>

namespace GraniteField::Daemon {

/// What a signal asks for.
enum class Signal {
    Stop,
    /// The settings file may have changed.
    Reload,
};

/// Waits for a signal. When the limit is over first, Reload if the settings file has changed without one, else nothing.
using SignalWait = std::function<std::optional<Signal>(Core::Milliseconds limit)>;

/// Thrown when a signal arrives while the daemon still waits for an address to listen on.
struct StartInterrupted {
    Signal signal;
};

/// Waits until the daemon is told to stop, for roles that read their settings once.
void wait_for_stop(SignalWait const&);

/// Waits for addresses to listen on, and reports that on standard error. `log` gets the same as events; it may be held,
/// or null.
[[nodiscard]] Core::ListenRetry::Events listen_events(SignalWait const&, Observe::EventLog* log = nullptr);

}
