#include "ProcessorWaits.h"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>
#include <utility>

namespace GraniteField::Testing {

void ProcessorWaits::watch(pid_t process)
{
    m_waits[process] = waited(process);
}

bool ProcessorWaits::was_any_away()
{
    bool was_away = false;
    for (auto& [process, before] : m_waits) {
        auto const now = waited(process);
        was_away = was_away || now - before > s_longest_wait;
        before = now;
    }
    return was_away;
}

Core::Milliseconds ProcessorWaits::waited(pid_t process)
{
    std::chrono::nanoseconds sum {0};
    std::error_code error;
    std::filesystem::directory_iterator threads("/proc/" + std::to_string(process) + "/task", error);
    for (; !error && threads != std::filesystem::directory_iterator(); threads.increment(error)) {
        std::ifstream file(threads->path() / "schedstat");
        std::uint64_t ran = 0;
        std::uint64_t waited = 0;
        // A thread may end just now.
        if (file >> ran >> waited)
            sum += std::chrono::nanoseconds(waited);
    }
    return std::chrono::duration_cast<Core::Milliseconds>(sum);
}

}
