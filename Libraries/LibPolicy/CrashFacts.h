#pragma once

#include <LibCore/RequestDigest.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace GraniteField::Policy {

/// One incarnation of a backend server, from its start to its end. Each member is a hash that is the same at all
/// gateways.
struct ServerIncarnation {
    std::uint64_t incarnation {0};
    /// Address of the server; the next incarnation may have the same one.
    std::uint64_t address {0};
    std::uint64_t service {0};

    bool operator==(ServerIncarnation const&) const = default;
};

/// State of a request at a backend server at the time of a crash.
enum class Exposure : std::uint8_t {
    /// It was not known to have started, or had been running for a while.
    Weak = 1,
    /// It had just started.
    Fresh = 2,
};

/// A request that was at a backend server when that crashed.
struct CrashWitness {
    Core::RequestDigest digest;
    ServerIncarnation server;
    Exposure exposure {Exposure::Weak};
    Core::MonotonicTime crashed;
};

/// A request was cleared or quarantined at that time.
struct DigestEvent {
    Core::RequestDigest digest;
    Core::MonotonicTime time;
};

/// Report about crashes that gateways exchange. Each item is valid by itself, so that repeated, late or reordered
/// reports have no further effect.
struct CrashReport {
    std::vector<CrashWitness> witnesses;
    /// Requests that completed, or that an operator released.
    std::vector<DigestEvent> cleared;
    std::vector<DigestEvent> quarantined;

    [[nodiscard]] bool is_empty() const { return witnesses.empty() && cleared.empty() && quarantined.empty(); }
};

}
