#pragma once

#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

namespace GraniteField::Daemon {

/// Tells whoever started the daemon where it listens, as one JSON line on standard output. With port 0 in
/// the settings the kernel chooses, and this is how the choice is learned.
inline void announce(nlohmann::json const& ports)
{
    std::cout << nlohmann::json {{"listening", ports}}.dump() << '\n' << std::flush;
}

}
