#pragma once

#include "Signals.h"

#include <LibSettings/DaemonSettings.h>

namespace GraniteField::Daemon {

/// Runs an entry until it is told to stop, then stops as planned: shows that it is not ready, closes the listener, and
/// lets what is in flight end. Throws StartInterrupted.
void run_entry(Settings::DaemonSettings const&, SignalWait const&);

}
