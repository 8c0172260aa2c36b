#pragma once

#include <compare>
#include <cstdint>

namespace GraniteField::Policy {

/// Whether a workspace requests more of a service than its share in a shortage.
enum class ShareStanding : std::uint8_t {
    Within,
    Beyond,
};

/// Whether a caller returns at the time that an earlier rejection gave it.
enum class Arrival : std::uint8_t {
    Returning,
    New,
};

/// Order in which requests to a service are shed: the greatest first. Priorities always go first, so that neither a
/// share nor a place in line lets a request pass one of a higher priority.
struct AdmissionClass {
    /// Priority at the engine; 0 is the most urgent.
    unsigned rank {0};
    ShareStanding standing {ShareStanding::Within};
    Arrival arrival {Arrival::New};

    auto operator<=>(AdmissionClass const&) const = default;
};

}
