#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/AdmissionClass.h>
#include <LibPolicy/FleetDemand.h>
#include <LibPolicy/ReturnLine.h>
#include <LibPolicy/WaitCorrection.h>
#include <LibPolicy/WaitSamples.h>
#include <LibPolicy/WorkspaceShares.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// A new request and its predicted wait.
struct AdmissionRequest {
    /// Requests of one service share its engines.
    std::string const& service;
    std::string const& request_class;
    /// Priority at the engine; 0 is the most urgent.
    unsigned rank {0};
    /// Time since the request was received.
    FractionalMilliseconds elapsed {0};
    /// Predicted time to the first token at the best engine.
    FractionalMilliseconds predicted_wait {0};
    /// Target of the time to the first token.
    FractionalMilliseconds target {0};
    /// Time until the caller gives up.
    FractionalMilliseconds remaining_time {0};
    std::string workspace {};
    /// Tokens to read and to write.
    double work {0};
    /// Identifies the request when it returns after a rejection.
    ReturnLine::Fingerprint fingerprint {0};
    /// Part of the predicted wait that the request itself causes, at an engine without other requests.
    FractionalMilliseconds idle_wait {0};
};

/// What Admission takes into account beyond this gateway's own requests. All of it is off by default.
struct AdmissionSettings {
    /// Orders rejections by the shares of the workspaces.
    bool uses_workspace_shares {false};
    /// Closes ranks by the requests of all gateways, and shares samples of waits.
    bool is_fleet_wide {false};
    /// Gives rejected requests a place in line.
    bool has_return_line {false};
};

enum class RejectionReason {
    /// It would probably miss its target.
    Late,
    /// The estimated 80th percentile of waits in its rank has exceeded the target for a while.
    Shortage,
    /// A request of a higher rank would have missed its target a moment ago.
    HigherRank,
    /// Its workspace requests more than its share during a shortage.
    Share,
};

[[nodiscard]] char const* to_string(RejectionReason);

/// A rejected request, with the rule that rejected it.
struct Rejection {
    /// Delay to send as Retry-After.
    Core::Milliseconds retry_after {0};
    RejectionReason reason {RejectionReason::Late};
    /// Estimated 80th percentile of the wait of requests with this prediction.
    FractionalMilliseconds probable_wait {0};
    /// Admission class, with the share standing of the workspace.
    AdmissionClass admission_class;
    /// Whether the request has a place in line at that time.
    bool has_place {false};
};

/// Admission control for overload that lasts for seconds. If all requests were admitted then, all of them would be
/// late: streams hold slots and memory for ten seconds, cached prompts are evicted and read again, and callers leave
/// before their answers end. A request that will probably miss its target is rejected at once with a Retry-After.
/// Running requests are not affected, and retries after a fault are not asked again.
///
/// Lower priorities are shed first: a request is rejected only while no request of a lower rank is admitted.
///
/// Rejected requests yield no samples, so an estimator without samples must not reject.
///
/// Within a rank, requests of workspaces beyond their share are shed first, and requests that return at the time that a
/// rejection gave them last (AdmissionClass). These classes are shed in order like ranks.
///
/// No I/O and no clock; for one thread.
class Admission {
public:
    /// Time for which a rank is closed after a request of a higher rank would have missed its target. The lowest rank
    /// closes at once, every other one after those below it have been closed for this time. Also the time for which a
    /// rank counts as open after one of its requests was admitted.
    static constexpr Core::Milliseconds s_closure_time {500};
    /// Interval, in requests, at which a closed rank admits one that can meet its target, so that no class starves.
    static constexpr unsigned s_floor_interval {8};

    /// Requests of a class that are admitted while its estimate has too few samples.
    static constexpr unsigned s_max_trials {8};

    /// Fraction of the target for which the estimated 80th percentile of waits must exceed the target before requests
    /// are rejected. Shorter peaks pass before rejections would take effect.
    static constexpr double s_shortage_delay_fraction = 0.2;
    /// Longest Retry-After, as a fraction of the time until the caller gives up.
    static constexpr double s_max_retry_after_fraction = 0.32;
    static constexpr FractionalMilliseconds s_min_retry_after {250};
    /// Jitter as a fraction of Retry-After, so that requests that were rejected together do not retry together.
    static constexpr double s_retry_after_jitter = 0.4;

    /// Fractions of a class's late requests in the fleet from which the classes below it begin to close, and at which
    /// they are closed. Targets are promised to 95 of 100 requests; beyond one in five, the 80th percentile is late.
    static constexpr double s_closing_late_fraction = 0.05;
    static constexpr double s_closed_late_fraction = 0.2;
    /// Fraction of a class's requests in the fleet above which it counts as open. Twice the floor: requests that the
    /// floor admits do not keep the classes above open.
    static constexpr double s_min_open_fraction = 2.0 / s_floor_interval;
    /// Limit, and changes per second, of the headroom: the part of the time that a request can wait for others, which
    /// one of a workspace that floods leaves to others. Such requests would otherwise keep the wait just at the target,
    /// where those of others are late. The headroom grows while requests of workspaces within their share are late, and
    /// shrinks slowly otherwise, so that it stays just large enough.
    static constexpr double s_max_headroom = 0.5;
    /// Multiple of its share at which a workspace leaves all of the headroom; a smaller excess leaves a part of it, so
    /// that large workspaces may still fill the wait during a short burst.
    static constexpr double s_flood_excess = 4;
    static constexpr double s_headroom_growth = 1;
    static constexpr double s_headroom_decline = 0.02;
    /// Part of the time that a request can wait for others, within which a new one must probably start while callers
    /// are about to return.
    static constexpr double s_new_wait_fraction = 0.9;
    /// Interval at which the demand of the fleet is summed up.
    static constexpr Core::Milliseconds s_summary_interval {50};

    /// Interval between samples of all gateways below which each one counts less, so that the fleet's estimate doubles
    /// in a second at most: short waits are observed before the long ones that began at the same time, and a faster
    /// estimate would follow them.
    static constexpr FractionalMilliseconds s_full_sample_interval {40};
    /// Maximum number of classes with estimates; all are dropped beyond it.
    static constexpr std::size_t s_max_classes {4'096};

    void set_settings(AdmissionSettings const& settings) { m_settings = settings; }
    [[nodiscard]] AdmissionSettings const& settings() const { return m_settings; }

    /// Returns the rejection of the request, or nullopt to admit it. `draw`, from 0 to 1, is the jitter of Retry-After.
    [[nodiscard]] std::optional<Rejection> check(AdmissionRequest const&, double draw, Core::MonotonicTime now);

    /// Records the time to the first token of an admitted request.
    void note_wait(std::string const& service, std::string const& request_class, FractionalMilliseconds predicted,
        FractionalMilliseconds actual, Core::MonotonicTime now = {});
    /// Records a sample of another gateway.
    void receive(WaitSample const&, Core::MonotonicTime now);

    [[nodiscard]] FleetDemand& demand() { return m_demand; }
    [[nodiscard]] FleetDemand const& demand() const { return m_demand; }
    [[nodiscard]] WorkspaceShares& shares() { return m_shares; }
    [[nodiscard]] WorkspaceShares const& shares() const { return m_shares; }
    [[nodiscard]] ReturnLine& return_line() { return m_return_line; }
    [[nodiscard]] ReturnLine const& return_line() const { return m_return_line; }
    [[nodiscard]] WaitSamples& wait_samples() { return m_wait_samples; }

    /// State of a service for operators.
    struct Summary {
        ServiceDemand demand;
        /// Work per second that a workspace of weight 1 is entitled to; infinite without a shortage.
        double level {0};
    };
    [[nodiscard]] Summary summary(std::string const& service, Core::MonotonicTime now) const;

private:
    struct Class {
        WaitCorrection correction;
        /// Requests admitted without samples.
        unsigned trials {0};
        std::optional<Core::MonotonicTime> last_sample;
    };

    /// Requests of one admission class at this gateway.
    struct History {
        /// Since when the estimated 80th percentile of waits has exceeded the target.
        std::optional<Core::MonotonicTime> late_since;
        /// When a request last would have missed its target.
        std::optional<Core::MonotonicTime> last_late;
        /// Time of the last admission, and of the last one while the class was not closed.
        std::optional<Core::MonotonicTime> last_admitted;
        std::optional<Core::MonotonicTime> last_admitted_while_open;
        unsigned closed_count {0};
    };

    struct Service {
        std::map<AdmissionClass, History> histories;
        Summary summary;
        std::optional<Core::MonotonicTime> summarized_at;
        /// Part of their wait that requests of workspaces beyond their share leave to others.
        double headroom {0};
    };

    /// Expected lateness of a request.
    struct Lateness {
        FractionalMilliseconds probable_wait {0};
        bool is_median_late {false};
        bool is_late {false};
        /// Time for which requests of the class have been late.
        FractionalMilliseconds shortage {0};
    };

    [[nodiscard]] static bool is_recent(std::optional<Core::MonotonicTime>, Core::MonotonicTime now);
    /// Returns the counts of the fleet for the class, or null if only this gateway's history applies.
    [[nodiscard]] ClassCounts const* fleet_counts(Service const&, AdmissionClass) const;
    /// Returns how far late requests of the class close the classes below it, from 0 to 1.
    [[nodiscard]] double closing_degree(Service const&, AdmissionClass, Core::MonotonicTime now) const;
    [[nodiscard]] bool is_class_admitted(Service const&, AdmissionClass, Core::MonotonicTime now) const;
    [[nodiscard]] bool is_class_open(Service const&, AdmissionClass, Core::MonotonicTime now) const;
    /// Returns the classes of the service that this gateway or another one has had requests of.
    [[nodiscard]] std::vector<AdmissionClass> known_classes(Service const&) const;
    /// Whether the class is closed to a request with this draw. A partly closed class rejects the same requests at all
    /// gateways.
    [[nodiscard]] bool is_closed(Service const&, AdmissionClass, double draw, Core::MonotonicTime now) const;
    [[nodiscard]] bool is_lower_rank_admitted(Service const&, AdmissionClass, Core::MonotonicTime now) const;
    /// Whether a request may be admitted as a trial because the estimate of its class has too few samples.
    [[nodiscard]] static bool is_trial(Class const&);

    void update_summary(Service&, std::string const& name, Core::MonotonicTime now) const;
    static void update_headroom(Service&, DecayingRate::Seconds elapsed);
    [[nodiscard]] AdmissionClass classify(AdmissionRequest const&, Service const&, Core::MonotonicTime now);
    [[nodiscard]] static Lateness lateness_of(AdmissionRequest const&, Class const&, History&, Core::MonotonicTime now);
    /// Returns the part of the time that a request can wait for others, within which this one must probably start.
    [[nodiscard]] double wait_fraction(AdmissionRequest const&, Service const&, AdmissionClass) const;
    /// Whether the request must be rejected so that those before it in order are not late.
    [[nodiscard]] bool must_leave_room(AdmissionRequest const&, Service const&, AdmissionClass, Class const&) const;
    void note_decision(AdmissionRequest const&, AdmissionClass, FleetDemand::Verdict, FleetDemand::ClassState,
        Core::MonotonicTime now);
    [[nodiscard]] Rejection reject(
        AdmissionRequest const&, Service const&, AdmissionClass, Lateness const&, double draw, Core::MonotonicTime now);
    /// Returns the delay without regard to other rejected requests.
    [[nodiscard]] static Core::Milliseconds retry_after(
        AdmissionRequest const&, FractionalMilliseconds mean, double draw);

    void note_ratio(NameHash key, double ratio, Core::MonotonicTime now);
    /// Returns the estimates for a class of requests.
    Class& class_of(NameHash key);

    AdmissionSettings m_settings;
    std::map<std::string, Service> m_services;
    /// By the hash of the service and the class, by which other gateways identify them.
    absl::flat_hash_map<NameHash, Class> m_classes;
    FleetDemand m_demand;
    WorkspaceShares m_shares;
    ReturnLine m_return_line;
    WaitSamples m_wait_samples;
};

}
