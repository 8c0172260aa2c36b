#pragma once

#include "SettingsFile.h"
#include "Signals.h"

namespace GraniteField::Daemon {

/// Runs a gateway until it is told to stop, and lets it finish what is in flight. Throws StartInterrupted.
void run_gateway(Settings::DaemonSettings const&, SignalWait const&, SettingsFile&);

}
