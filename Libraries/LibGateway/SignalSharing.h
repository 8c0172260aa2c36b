#pragma once

#include <LibCore/Time.h>
#include <LibGateway/BackendFleet.h>
#include <LibPolicy/ServerFacts.h>

#include <Peers.pb.h>

namespace GraniteField::Gateway {

/// Exchanges what backend servers state about themselves among the gateways. A gateway reports to its relay; relays
/// exchange their reports and forward them to their gateways.
class SignalSharing {
public:
    using Message = granitefield::protocol::SignalReports;

    explicit SignalSharing(BackendFleet& fleet)
        : m_fleet(fleet)
    {
    }

    [[nodiscard]] bool has_due_reports(Core::MonotonicTime now) const;
    [[nodiscard]] static bool is_within_bounds(Message const&);
    /// Adds the reports to send now.
    void fill(Message&, Core::MonotonicTime now);
    /// Adds all facts, for a gateway that has just started.
    void fill_all(Message&, Core::MonotonicTime now) const;
    void receive(Message const&, Policy::Relaying, Core::MonotonicTime now);

private:
    BackendFleet& m_fleet;
};

}
