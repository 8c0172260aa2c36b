#pragma once

#include "Signals.h"

#include <LibSettings/DaemonSettings.h>

#include <filesystem>
#include <functional>

namespace GraniteField::Daemon {

/// The file that a daemon's settings are read from.
struct SettingsSource {
    std::function<Settings::DaemonSettings()> read;
    /// When the file was last written; it may change without a signal.
    std::function<std::filesystem::file_time_type()> changed_at;
};

/// Runs a gateway until it is told to stop, and lets it finish what is in flight. Throws StartInterrupted.
void run_gateway(Settings::DaemonSettings const&, SignalWait const&, SettingsSource const&);

}
