#pragma once

#include <LibCore/StrongInteger.h>

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace GraniteField::Entry {

/// Version of the list of drains; a later list has a higher one.
using DrainsVersion = Core::StrongInteger<struct DrainsVersionTag>;

/// What gets nothing new, whatever its backend servers say of themselves.
struct DrainList {
    DrainsVersion version;
    /// Hosts that are leaving by the platform's list: IP numbers, or addresses where a host has several.
    std::set<std::string> hosts;
    /// Failure domains that the operators drain.
    std::set<std::string> failure_domains;
};

/// The newest list of drains that this process has, from the platform or from a peer. An older one never takes
/// its place.
class SharedDrains {
public:
    [[nodiscard]] DrainList current() const
    {
        std::lock_guard const lock(m_mutex);
        return m_drains;
    }

    [[nodiscard]] DrainsVersion version() const
    {
        std::lock_guard const lock(m_mutex);
        return m_drains.version;
    }

    /// Takes the list if it is newer, and says whether it was.
    bool offer(DrainList drains)
    {
        std::lock_guard const lock(m_mutex);
        if (drains.version <= m_drains.version)
            return false;
        m_drains = std::move(drains);
        return true;
    }

private:
    mutable std::mutex m_mutex;
    DrainList m_drains;
};

}
