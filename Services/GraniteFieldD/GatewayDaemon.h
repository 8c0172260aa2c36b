#pragma once

#include <LibSettings/DaemonSettings.h>

#include <filesystem>
#include <functional>
#include <optional>

namespace GraniteField::Daemon {

/// What a signal asks for.
enum class Signal {
    Stop,
    /// The settings file may have changed.
    Reload,
};

/// The file that a daemon's settings are read from.
struct SettingsSource {
    std::function<Settings::DaemonSettings()> read;
    /// When the file was last written; it may change without a signal.
    std::function<std::filesystem::file_time_type()> changed_at;
};

/// Waits for a signal; nothing when the limit is over first.
using SignalWait = std::function<std::optional<Signal>(Core::Milliseconds limit)>;

/// Runs a gateway until it is told to stop, and lets it finish what is in flight.
void run_gateway(Settings::DaemonSettings const&, SignalWait const&, SettingsSource const&);

}
