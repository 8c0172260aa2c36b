#pragma once

#include <LibCore/Time.h>
#include <LibGateway/BackendFleet.h>
#include <LibPolicy/ServerFacts.h>

#include <Peers.pb.h>

namespace GraniteField::Gateway {

/// What the gateways' datagrams carry of what backend servers state about themselves. A gateway tells its relay; relays
/// tell each other and their gateways.
class SignalSharing {
public:
    using Message = granitefield::protocol::SignalReports;

    explicit SignalSharing(BackendFleet& fleet)
        : m_fleet(fleet)
    {
    }

    [[nodiscard]] bool has_news(Core::MonotonicTime now) const;
    [[nodiscard]] static bool is_within_bounds(Message const&);
    /// Adds what is to be told now.
    void fill(Message&, Core::MonotonicTime now);
    /// Adds all that is known, for a gateway that has just started.
    void fill_everything(Message&, Core::MonotonicTime now) const;
    void take(Message const&, Policy::Relaying, Core::MonotonicTime now);

private:
    BackendFleet& m_fleet;
};

}
