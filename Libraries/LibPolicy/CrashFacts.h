#pragma once

#include <LibCore/RequestDigest.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <utility>
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

/// What crashes with a request at the server are attributed to: the request as a whole, and the parts that its prompt
/// shares with other requests.
struct CrashIdentity {
    /// Parts that are evaluated; a crash is never attributed to further ones.
    static constexpr std::size_t s_max_parts = 8;

    CrashIdentity(Core::RequestDigest digest, std::vector<Core::RequestDigest> shared_parts = {})
        : request(digest)
        , parts(std::move(shared_parts))
    {
    }

    Core::RequestDigest request;
    /// In the order of the prompt.
    std::vector<Core::RequestDigest> parts;
};

/// A request that was at a backend server when that crashed.
struct CrashWitness {
    Core::RequestDigest digest;
    ServerIncarnation server;
    Exposure exposure {Exposure::Weak};
    Core::MonotonicTime crashed;
    /// Shared parts of its prompt, in order.
    std::vector<Core::RequestDigest> parts {};
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
