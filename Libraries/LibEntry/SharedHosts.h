#pragma once

#include <LibCore/StrongInteger.h>

#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace GraniteField::Entry {

/// Version of the platform's host list.
using HostsVersion = Core::StrongInteger<struct HostsVersionTag>;

/// Hosts that are leaving by the platform's list: IP numbers, or addresses where a host has several.
struct LeavingHosts {
    HostsVersion version;
    std::set<std::string> addresses;
};

/// The newest host list that this process has, from the platform or from a peer. An older one never takes
/// its place.
class SharedHosts {
public:
    [[nodiscard]] LeavingHosts current() const
    {
        std::lock_guard const lock(m_mutex);
        return m_hosts;
    }

    [[nodiscard]] HostsVersion version() const
    {
        std::lock_guard const lock(m_mutex);
        return m_hosts.version;
    }

    /// Takes the list if it is newer, and says whether it was.
    bool offer(LeavingHosts hosts)
    {
        std::lock_guard const lock(m_mutex);
        if (hosts.version <= m_hosts.version)
            return false;
        m_hosts = std::move(hosts);
        return true;
    }

private:
    mutable std::mutex m_mutex;
    LeavingHosts m_hosts;
};

}
