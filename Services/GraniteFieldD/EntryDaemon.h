#pragma once

#include <LibSettings/DaemonSettings.h>

#include <functional>

namespace GraniteField::Daemon {

/// Runs an entry until `wait_for_stop` returns, then stops as planned: shows that it is not ready, closes
/// the listener, and lets what is in flight end.
void run_entry(Settings::DaemonSettings const&, std::function<void()> const& wait_for_stop);

}
