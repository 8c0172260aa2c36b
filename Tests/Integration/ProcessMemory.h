#pragma once

#include <LibCore/Text.h>

#include <cstddef>
#include <fstream>
#include <string>

#include <sys/types.h>

namespace GraniteField::Testing {

/// The memory of the smaller of both deployments' `front` hosts.
inline constexpr std::size_t s_host_memory_bytes = 110'000'000;

/// The largest amount of resident memory that the process has had, in bytes.
inline std::size_t peak_memory(pid_t process)
{
    std::ifstream status(Core::concat("/proc/", process, "/status"));
    constexpr std::size_t kilobyte = 1'024;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find(':') + 1)) * kilobyte;
    }
    return 0;
}

}
