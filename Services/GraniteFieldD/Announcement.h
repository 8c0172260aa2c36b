#pragma once

#include <LibObserve/EventLog.h>

#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

namespace GraniteField::Daemon {

/// Writes where the daemon listens, as one JSON line on standard output. With port 0 in the settings the kernel
/// chooses, and this is how the choice is learned.
inline void announce(nlohmann::json const& ports)
{
    std::cout << nlohmann::json {{"listening", ports}}.dump() << '\n' << std::flush;
}

/// The same for a daemon that logs to standard output. Its log is held until then: whoever starts the daemon reads the
/// announcement as the first line, however late the main thread writes it.
inline void announce(nlohmann::json const& ports, Observe::EventLog& held_log)
{
    announce(ports);
    held_log.begin_output();
}

}
