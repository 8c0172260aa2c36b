#pragma once

#include <LibSettings/DaemonSettings.h>

#include <functional>

namespace GraniteField::Daemon {

/// Runs the side process of a backend server until `wait_for_stop` returns, then stops as planned: takes no
/// new work, sends waiting work back to its entries, and lets what runs end.
void run_side(Settings::DaemonSettings const&, std::function<void()> const& wait_for_stop);

}
