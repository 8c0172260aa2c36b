#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace GraniteField::Cluster {

/// What gateways tell each other of who holds a duty, so that nobody has to poll the store. Nothing that must be right
/// rests on it: a gateway that knows too little asks the store, and only the store gives a lease away.
struct DutyStatus {
    /// The lease object's newest version that is known somewhere; 0 for none.
    std::uint64_t version {0};
    /// When that version was first version_seen of here: not before it was written.
    Core::MonotonicTime version_seen;
    /// When its holder was last known to be there and to reach the store.
    std::optional<Core::MonotonicTime> last_alive;
    /// Its holder has given the lease up.
    bool is_released {false};

    /// Takes over what the other word knows better.
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
