#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/WaitCorrection.h>

#include <map>
#include <optional>
#include <string>

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
};

enum class RejectionReason {
    /// It would probably miss its target.
    Late,
    /// The estimated 80th percentile of waits in its rank has exceeded the target for a while.
    Shortage,
    /// A request of a higher rank would have missed its target a moment ago.
    HigherRank,
};

[[nodiscard]] char const* to_string(RejectionReason);

/// A rejected request, with the rule that rejected it.
struct Rejection {
    /// Delay to send as Retry-After.
    Core::Milliseconds retry_after {0};
    RejectionReason reason {RejectionReason::Late};
    /// Estimated 80th percentile of the wait of requests with this prediction.
    FractionalMilliseconds probable_wait {0};
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

    /// Returns the rejection of the request, or nullopt to admit it. `draw`, from 0 to 1, is the jitter of Retry-After.
    [[nodiscard]] std::optional<Rejection> check(AdmissionRequest const&, double draw, Core::MonotonicTime now);

    /// Records the time to the first token of an admitted request.
    void note_wait(std::string const& service, std::string const& request_class, FractionalMilliseconds predicted,
        FractionalMilliseconds actual)
    {
        m_services[service].classes[request_class].correction.note(predicted, actual);
    }

private:
    struct Class {
        WaitCorrection correction;
        /// Requests admitted without samples.
        unsigned trials {0};
    };

    struct Rank {
        /// Since when the estimated 80th percentile of waits has exceeded the target.
        std::optional<Core::MonotonicTime> late_since;
        /// When a request last would have missed its target.
        std::optional<Core::MonotonicTime> last_late;
        /// Time of the last admission, and of the last one while the rank was not closed.
        std::optional<Core::MonotonicTime> last_admitted;
        std::optional<Core::MonotonicTime> last_admitted_while_open;
        unsigned closed_count {0};
    };

    struct Service {
        std::map<std::string, Class> classes;
        std::map<unsigned, Rank> ranks;
    };

    [[nodiscard]] static bool is_recent(std::optional<Core::MonotonicTime>, Core::MonotonicTime now);
    [[nodiscard]] static bool is_closed(Service const&, unsigned rank, Core::MonotonicTime now);
    [[nodiscard]] static bool is_lower_rank_open(Service const&, unsigned rank, Core::MonotonicTime now);
    /// Whether a request may be admitted as a trial because the estimate of its class has too few samples.
    [[nodiscard]] static bool is_trial(Class const&);
    /// `shortage` is the time for which the rank's requests have been late.
    [[nodiscard]] static Core::Milliseconds retry_after(
        AdmissionRequest const&, FractionalMilliseconds probable_wait, FractionalMilliseconds shortage, double draw);

    std::map<std::string, Service> m_services;
};

}
