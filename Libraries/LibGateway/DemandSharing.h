#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/Admission.h>

#include <Peers.pb.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace GraniteField::Gateway {

/// Exchanges what the gateways' admission controls share: the demand for services with a shortage, samples of waits,
/// and the times at which rejected callers return. A gateway reports to its relay; relays report sums to each other and
/// to their gateways. Times to return stay within the failure domain. No I/O and no clock; on the gateway's thread.
class DemandSharing {
public:
    using Message = granitefield::protocol::DemandReport;

    /// Minimum time between two reports of demand.
    static constexpr Core::Milliseconds s_min_interval {250};
    /// Additional interval for each relay, so that the reports of all relays about one service stay near 3 KB/s at a
    /// gateway however many failure domains there are.
    static constexpr Core::Milliseconds s_interval_per_relay {67};

    explicit DemandSharing(Policy::Admission& admission)
        : m_admission(admission)
    {
    }

    [[nodiscard]] static bool is_within_bounds(Message const&);

    /// Adds this gateway's report to its relay.
    void fill_report(Message&, Core::MonotonicTime now);
    /// Adds this relay's report to other relays and, with add_places(), to its gateways. `self` identifies this relay.
    void fill_relayed(Message&, std::uint64_t self, Core::MonotonicTime now);
    void add_places(Message&, Core::MonotonicTime now);

    void receive_report(Message const&, std::uint64_t gateway, Core::MonotonicTime now);

    enum class Sender {
        OwnRelay,
        Other,
    };
    void receive_relayed(Message const&, std::uint64_t relay, Sender, Core::MonotonicTime now);

    void remove_expired(Core::MonotonicTime now);

private:
    [[nodiscard]] bool is_demand_shared() const;
    /// Whether a report of demand is due. Starts the next interval if so.
    [[nodiscard]] bool take_due_report(Core::MonotonicTime now);
    /// Returns whether the sample is one of this gateway's own that its relay sends back.
    [[nodiscard]] bool is_own_sample(Policy::WaitSample const&);

    Policy::Admission& m_admission;
    Core::MonotonicTime m_last_report;
    /// Samples and places of the gateways that report to this relay, to be sent with its next report.
    std::vector<Policy::WaitSample> m_samples_to_relay;
    std::vector<Policy::ReturnLine::Place> m_places_to_relay;
    std::vector<Policy::WaitSample> m_own_samples;
};

}
