#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/RateLimitFact.h>

#include <Peers.pb.h>

#include <vector>

namespace GraniteField::Gateway {

/// Reads and writes what the gateways' datagrams carry of rate limits that backend servers state.
class RateLimitSharing {
public:
    using Messages = google::protobuf::RepeatedPtrField<granitefield::protocol::RateLimitReport>;
    using Reports = std::vector<Policy::RateLimitFacts::Report>;

    [[nodiscard]] static bool is_within_bounds(Messages const&);
    static void write(Messages&, Reports const&, Core::MonotonicTime now);
    [[nodiscard]] static Reports read(Messages const&, Core::MonotonicTime now);
};

}
