#pragma once

#include <LibCore/RequestDigest.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace GraniteField::Policy {

/// One life of a backend server, from a start to its end. Hashes stand for the names, alike at every entry.
struct ServerLife {
    std::uint64_t life {0};
    /// The address at which it lives; the next life there has the same.
    std::uint64_t place {0};
    std::uint64_t service {0};

    bool operator==(ServerLife const&) const = default;
};

/// How a request was at a backend server when that crashed.
enum class Exposure : std::uint8_t {
    /// It was not seen to have begun, or had run for a while.
    Weak = 1,
    /// It had just begun.
    Fresh = 2,
};

/// A request was at a backend server when that crashed.
struct CrashWitness {
    Core::RequestDigest digest;
    ServerLife server;
    Exposure exposure {Exposure::Weak};
    Core::MonotonicTime crashed;
};

/// Something became known of a request at that time.
struct DigestWord {
    Core::RequestDigest digest;
    Core::MonotonicTime time;
};

/// What entries tell each other of crashes. Each part is true by itself, so that a part that comes twice, late or out
/// of order changes nothing.
struct CrashNews {
    std::vector<CrashWitness> witnesses;
    /// They ran to a good end, or an operator let them go.
    std::vector<DigestWord> cleared;
    std::vector<DigestWord> quarantined;

    [[nodiscard]] bool is_empty() const { return witnesses.empty() && cleared.empty() && quarantined.empty(); }
};

}
