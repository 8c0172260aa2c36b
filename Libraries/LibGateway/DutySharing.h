#pragma once

#include <LibCluster/SharedDuty.h>
#include <LibCore/Time.h>

#include <Peers.pb.h>

namespace GraniteField::Gateway {

/// What the gateways' datagrams about load carry for the duty of reporting usage: counts, clocks, and the word on the
/// holder. A gateway tells its relay; relays tell each other and their gateways, so that every gateway has all of it
/// and any of them may follow as the holder.
class DutySharing {
public:
    explicit DutySharing(Cluster::SharedDuty& duty)
        : m_duty(duty)
    {
    }

    [[nodiscard]] Cluster::SharedDuty& duty() { return m_duty; }
    [[nodiscard]] bool has_changes() const { return m_duty.has_changes(); }

    [[nodiscard]] static bool is_within_bounds(granitefield::protocol::GatewayLoad const&);
    [[nodiscard]] static bool is_within_bounds(granitefield::protocol::RelayedLoad const&);

    void fill_report(granitefield::protocol::GatewayLoad&, Cluster::WallTime own_clock, Core::MonotonicTime now);
    void receive_report(granitefield::protocol::GatewayLoad const&, Core::MonotonicTime now);

    enum class Sender {
        OwnRelay,
        Other,
    };
    void fill_relayed(granitefield::protocol::RelayedLoad&, Core::MonotonicTime now);
    /// Adds all that is known; for gateways that have just begun, of which one may soon hold the duty.
    void fill_all(granitefield::protocol::RelayedLoad&);
    void receive_relayed(granitefield::protocol::RelayedLoad const&, Sender, Core::MonotonicTime now);

private:
    Cluster::SharedDuty& m_duty;
};

}
