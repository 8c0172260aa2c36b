#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace GraniteField::Cluster {

/// The holder of a duty as gateways report it to each other, so that they need not poll the store. Correctness does not
/// depend on it: a gateway that lacks information reads the store, and only the store grants a lease.
struct DutyStatus {
    /// Newest known version of the lease object; 0 if none is known.
    std::uint64_t version {0};
    /// When this gateway first learned of that version, which is never before it was written.
    Core::MonotonicTime version_seen;
    /// When the holder was last known to be running and to reach the store.
    std::optional<Core::MonotonicTime> last_alive;
    /// Whether the holder has released the lease.
    bool is_released {false};

    /// Applies what is newer in the other status.
    void merge(DutyStatus const& other)
    {
        if (other.version < version)
            return;
        if (other.version > version) {
            *this = other;
            return;
        }
        version_seen = std::min(version_seen, other.version_seen);
        last_alive = std::max(last_alive, other.last_alive);
        is_released = is_released || other.is_released;
    }
};

}
