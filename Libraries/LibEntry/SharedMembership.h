#pragma once

#include <atomic>
#include <cstddef>

namespace GraniteField::Entry {

/// What the peer exchange knows of the other entries and the router needs.
struct SharedMembership {
    /// Entries that are known to be there, without this one.
    std::atomic<std::size_t> other_entries {0};
};

}
