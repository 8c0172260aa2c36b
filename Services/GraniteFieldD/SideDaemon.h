#pragma once

#include "Signals.h"

#include <LibSettings/DaemonSettings.h>

namespace GraniteField::Daemon {

/// Runs the side process of a backend server until it is told to stop, then stops as planned: takes no new work, sends
/// waiting work back to its entries, and lets what runs end. Throws StartInterrupted.
void run_side(Settings::DaemonSettings const&, SignalWait const&);

}
