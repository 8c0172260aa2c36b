#pragma once

#include <LibSettings/DaemonSettings.h>

#include <functional>

namespace GraniteField::Daemon {

/// What a signal asks for.
enum class Signal {
    Stop,
    /// The settings file has changed.
    Reload,
};

/// Runs a gateway until it is told to stop, and lets it finish what is in flight.
void run_gateway(Settings::DaemonSettings const&, std::function<Signal()> const& wait_for_signal,
    std::function<Settings::DaemonSettings()> const& read_settings);

}
