#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace GraniteField::Cluster {

/// What gateways tell each other of who holds a duty, so that nobody has to poll the store. Nothing that must be right
/// rests on it: a gateway that knows too little asks the store, and only the store gives a lease away.
struct DutyWord {
    /// The lease object's newest version that is known somewhere; 0 for none.
    std::uint64_t version {0};
    /// When that version was first heard of here: not before it was written.
    Core::MonotonicTime heard;
    /// When its holder was last known to be there and to reach the store.
    std::optional<Core::MonotonicTime> alive;
    /// Its holder has given the lease up.
    bool is_released {false};

    /// Takes over what the other word knows better.
    void merge(DutyWord const& other)
    {
        if (other.version < version)
            return;
        if (other.version > version) {
            *this = other;
            return;
        }
        heard = std::min(heard, other.heard);
        alive = std::max(alive, other.alive);
        is_released = is_released || other.is_released;
    }
};

}
