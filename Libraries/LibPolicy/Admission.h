#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/WaitCorrection.h>

#include <map>
#include <optional>
#include <string>

namespace GraniteField::Policy {

/// A new request and its prospects.
struct AdmissionQuestion {
    /// Requests of one service share its engines.
    std::string const& service;
    std::string const& request_class;
    /// Priority at the engine; 0 is the most urgent.
    unsigned rank {0};
    /// Time since the request was received.
    FineTime elapsed {0};
    /// Predicted time to the first token at the best engine.
    FineTime predicted_wait {0};
    /// Target of the time to the first token.
    FineTime target {0};
    /// Time for which the caller still waits.
    FineTime patience {0};
};

enum class RejectionReason {
    /// It would probably miss its target.
    Late,
    /// Most requests of its rank have been missing their target for a while.
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
    FineTime probable_wait {0};
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
    static constexpr Core::Milliseconds s_closure {500};
    /// One in so many requests of a closed rank is admitted if it can meet its target, so that no class starves.
    static constexpr unsigned s_floor {8};

    /// Requests of a class that are admitted while its estimate has too few samples.
    static constexpr unsigned s_trials {8};

    /// Part of the target for which the 80th percentile of waits must exceed the target to count as a shortage. Shorter
    /// peaks pass before rejections would take effect.
    static constexpr double s_patience_part = 0.2;
    /// Longest Retry-After, as a part of the time for which the caller still waits.
    static constexpr double s_longest_return_part = 0.32;
    static constexpr FineTime s_shortest_return {250};
    /// Jitter of Retry-After, as a part of it, so that requests that were rejected together do not retry together.
    static constexpr double s_return_spread = 0.4;

    /// Returns the rejection of the request, or nullopt to admit it. `draw`, from 0 to 1, is the jitter of Retry-After.
    [[nodiscard]] std::optional<Rejection> refuse(AdmissionQuestion const&, double draw, Core::MonotonicTime now);

    /// Records the time to the first token of an admitted request.
    void note_wait(std::string const& service, std::string const& request_class, FineTime predicted, FineTime actual)
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
        /// Start of the current time of predicted waits over the target.
        std::optional<Core::MonotonicTime> short_since;
        /// When a request last would have missed its target.
        std::optional<Core::MonotonicTime> pressed;
        /// When a request was last admitted, and when while the rank was not closed.
        std::optional<Core::MonotonicTime> admitted;
        std::optional<Core::MonotonicTime> admitted_openly;
        unsigned closed_count {0};
    };

    struct Service {
        std::map<std::string, Class> classes;
        std::map<unsigned, Rank> ranks;
    };

    [[nodiscard]] static bool is_recent(std::optional<Core::MonotonicTime>, Core::MonotonicTime now);
    [[nodiscard]] static bool is_closed(Service const&, unsigned rank, Core::MonotonicTime now);
    [[nodiscard]] static bool is_lower_rank_open(Service const&, unsigned rank, Core::MonotonicTime now);
    /// Whether the estimate of the class has too few samples to reject by, and a request may be admitted as a trial.
    [[nodiscard]] static bool is_trial(Class const&);
    /// `shortage` is the time for which the rank's requests have been late.
    [[nodiscard]] static Core::Milliseconds retry_after(
        AdmissionQuestion const&, FineTime probable_wait, FineTime shortage, double draw);

    std::map<std::string, Service> m_services;
};

}
