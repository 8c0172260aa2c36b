#include "ProcessorShares.h"

#include <LibCore/Text.h>

#include <csignal>
#include <cstdint>
#include <fstream>

namespace GraniteField::Testing {

namespace {

constexpr std::int64_t s_nanoseconds_per_microsecond = 1'000;

/// The processor time of all threads of the process.
Core::Microseconds time_used(pid_t process)
{
    timespec reading {};
    clockid_t clock {};
    if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &reading) != 0)
        return Core::Microseconds(0);
    return std::chrono::seconds(reading.tv_sec) + Core::Microseconds(reading.tv_nsec / s_nanoseconds_per_microsecond);
}

}

ProcessorShares::ProcessorShares()
    : m_thread([this] { run(); })
{
}

ProcessorShares::~ProcessorShares()
{
    m_should_stop = true;
    m_thread.join();
    for (auto const& [process, quota] : m_quotas)
        ::kill(process, SIGCONT);
}

void ProcessorShares::set(pid_t process, double share)
{
    std::lock_guard const lock(m_mutex);
    m_quotas[process].share = share;
}

void ProcessorShares::forget(pid_t process)
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_quotas.find(process);
    if (found == m_quotas.end())
        return;
    if (found->second.is_stopped)
        ::kill(process, SIGCONT);
    m_quotas.erase(found);
}

void ProcessorShares::begin_period()
{
    std::lock_guard const lock(m_mutex);
    for (auto& [process, quota] : m_quotas) {
        quota.at_begin = time_used(process);
        if (std::exchange(quota.is_stopped, false))
            ::kill(process, SIGCONT);
    }
}

void ProcessorShares::stop_who_has_spent()
{
    std::lock_guard const lock(m_mutex);
    for (auto& [process, quota] : m_quotas) {
        if (quota.is_stopped || quota.share <= 0)
            continue;
        auto const used = std::chrono::duration<double>(time_used(process) - quota.at_begin);
        if (used < std::chrono::duration<double>(s_period) * quota.share)
            continue;
        ::kill(process, SIGSTOP);
        quota.is_stopped = true;
    }
}

void ProcessorShares::run()
{
    while (!m_should_stop) {
        begin_period();
        auto const end = std::chrono::steady_clock::now() + s_period;
        while (std::chrono::steady_clock::now() < end) {
            stop_who_has_spent();
            std::this_thread::sleep_for(s_look);
        }
    }
}

}
