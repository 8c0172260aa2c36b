#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/AdmissionClass.h>
#include <LibPolicy/DecayingRate.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// Hash of the name of a service or a workspace, which identifies it in messages between gateways.
using NameHash = std::uint32_t;
[[nodiscard]] NameHash hash_name(std::string_view);

/// Requests of one admission class in the last FleetDemand::s_window.
struct ClassCounts {
    unsigned requested {0};
    /// Requests that would probably have missed their target.
    unsigned late {0};
    unsigned admitted {0};
    /// Requests that were admitted while their class was not closed.
    unsigned admitted_while_open {0};

    ClassCounts& operator+=(ClassCounts const&);
    bool operator==(ClassCounts const&) const = default;
};

/// Work per second that a workspace requested from a service, and the part of it that was admitted.
struct WorkRate {
    double requested {0};
    double admitted {0};

    WorkRate& operator+=(WorkRate const&);
    bool operator==(WorkRate const&) const = default;
};

/// Demand for one service, from one gateway or from several.
struct ServiceDemand {
    /// Counts by rank and standing; the arrival is not distinguished.
    std::map<AdmissionClass, ClassCounts> classes;
    /// Work of all workspaces. `admitted` counts only requests that were expected to meet their target, and so
    /// estimates the capacity during a shortage.
    WorkRate total;
    /// The workspaces that request the most.
    absl::flat_hash_map<NameHash, WorkRate> workspaces;

    ServiceDemand& operator+=(ServiceDemand const&);
    /// Keeps the `count` workspaces that request the most; the total still includes the others.
    void keep_heaviest(std::size_t count);
};

using DemandReport = std::map<NameHash, ServiceDemand>;

/// Demand of all gateways for services with a shortage, as a sum of the reports of the relays. Size and message rate
/// depend on neither the number of gateways nor the number of workspaces. No I/O and no clock; for one thread.
class FleetDemand {
public:
    /// Time over which requests are counted.
    static constexpr Core::Milliseconds s_window {500};
    /// Half-life of rates of work: a burst that has ended is forgotten within seconds, while single requests do not
    /// decide about a workspace.
    static constexpr DecayingRate::Seconds s_work_half_life {1};
    /// Time for which a service is reported after the last late or rejected request of any gateway.
    static constexpr Core::Milliseconds s_shortage_retention {2'000};
    /// Time after which the demand of a silent gateway or relay is dropped: several reports.
    static constexpr Core::Milliseconds s_report_expiry {2'000};
    static constexpr std::size_t s_max_reported_services {8};
    static constexpr std::size_t s_max_reported_workspaces {8};
    static constexpr std::size_t s_max_known_workspaces {1'024};
    static constexpr std::size_t s_max_sources {1'024};

    struct Request {
        std::string const& service;
        std::string const& workspace;
        AdmissionClass admission_class;
        double work {0};
    };

    enum class Verdict {
        /// Admitted, and expected to meet its target.
        InTime,
        /// Admitted, although it will probably miss its target.
        Late,
        Rejected,
        /// Rejected, although it would have met its target.
        RejectedInTime,
    };

    enum class ClassState {
        Open,
        Closed,
    };

    /// Records a decision of this gateway. `state` is that of the request's class.
    void note(Request const&, Verdict, ClassState, Core::MonotonicTime now);

    /// Returns this gateway's demand for services with a shortage.
    [[nodiscard]] DemandReport own_report(Core::MonotonicTime now);
    /// Returns the sum of this gateway and of the gateways that report to it.
    [[nodiscard]] DemandReport relayed_report(Core::MonotonicTime now);
    /// Records the report of a gateway to this relay.
    void receive_from_gateway(std::uint64_t gateway, DemandReport, Core::MonotonicTime now);
    /// Records the sum that a relay reports, which may be this one.
    void receive_from_relay(std::uint64_t relay, DemandReport, Core::MonotonicTime now);
    void remove_silent(Core::MonotonicTime now);

    /// Whether any gateway had a late or rejected request for the service within the retention time.
    [[nodiscard]] bool has_shortage(std::string const& service, Core::MonotonicTime now) const;
    /// Returns the demand of all gateways, this one included.
    [[nodiscard]] ServiceDemand total(std::string const& service, Core::MonotonicTime now) const;
    /// Returns the names of services with a shortage that this gateway has received requests for.
    [[nodiscard]] std::vector<std::string> services_with_shortage(Core::MonotonicTime now) const;
    /// Number of relays with a current report.
    [[nodiscard]] std::size_t source_count() const { return m_relays.size(); }

private:
    /// Counts of one slice of the window.
    struct Slice {
        std::int64_t number {0};
        std::map<AdmissionClass, ClassCounts> classes;
    };

    struct OwnWork {
        DecayingRate requested {s_work_half_life};
        DecayingRate admitted {s_work_half_life};

        [[nodiscard]] WorkRate rate(Core::MonotonicTime now) const
        {
            return {requested.per_second(now), admitted.per_second(now)};
        }
    };

    /// Requests that this gateway has received for one service.
    struct OwnDemand {
        std::string name;
        std::deque<Slice> slices;
        OwnWork total;
        absl::flat_hash_map<NameHash, OwnWork> workspaces;
    };

    struct Source {
        Core::MonotonicTime received_at;
        DemandReport report;
    };

    using Sources = std::map<std::uint64_t, Source>;

    [[nodiscard]] static std::int64_t slice_number(Core::MonotonicTime now);
    [[nodiscard]] static std::map<AdmissionClass, ClassCounts> recent_counts(OwnDemand const&, Core::MonotonicTime now);
    [[nodiscard]] static ServiceDemand current(OwnDemand const&, Core::MonotonicTime now);
    void receive(Sources&, std::uint64_t source, DemandReport, Core::MonotonicTime now);
    /// Returns the work of the workspace, or null if too many workspaces are known.
    static OwnWork* work_of(OwnDemand&, std::string const& workspace, Core::MonotonicTime now);

    std::map<NameHash, OwnDemand> m_own;
    /// Gateways that report to this relay.
    Sources m_gateways;
    Sources m_relays;
    std::map<NameHash, Core::MonotonicTime> m_last_shortage;
};

}
