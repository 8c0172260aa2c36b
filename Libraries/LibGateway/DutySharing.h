#pragma once

#include <LibCluster/SharedDuty.h>
#include <LibCore/Time.h>

#include <Peers.pb.h>

namespace GraniteField::Gateway {

/// Exchanges the data of the duty of reporting usage in the load datagrams of the gateways: counts, clocks, and the
/// state of the holder. A gateway reports to its relay; relays exchange their reports and forward them to their
/// gateways, so that any gateway can become the next holder.
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
    /// Adds the full state, for gateways that have just started and may soon hold the duty.
    void fill_all(granitefield::protocol::RelayedLoad&);
    void receive_relayed(granitefield::protocol::RelayedLoad const&, Sender, Core::MonotonicTime now);

private:
    Cluster::SharedDuty& m_duty;
};

}
