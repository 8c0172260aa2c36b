#pragma once

#include <LibCore/StrongInteger.h>

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace GraniteField::Entry {

/// Version of the list of drains. Increases with each change.
using DrainsVersion = Core::StrongInteger<struct DrainsVersionTag>;

/// Hosts and failure domains that receive no new requests, regardless of what their backend servers report.
struct DrainList {
    DrainsVersion version;
    /// Hosts that the platform's host list marks as leaving: IP numbers, or addresses where a host has several.
    std::set<std::string> hosts;
    /// Failure domains that are drained by the operators.
    std::set<std::string> failure_domains;
};

/// The newest list of drains of this process, received from the platform or from a peer. It is never replaced by an
/// older one. Any thread.
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

    /// Stores the list if it is newer. Returns whether it was.
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
