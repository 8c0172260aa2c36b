#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/WaitCorrection.h>

#include <map>
#include <optional>
#include <string>

namespace GraniteField::Policy {

/// What a request that has just come would meet.
struct AdmissionQuestion {
    /// Who shares engines.
    std::string const& service;
    std::string const& request_class;
    /// At the engine, from 0, the most urgent.
    unsigned rank {0};
    /// Since the caller's request came.
    FineTime elapsed {0};
    /// Time until its first piece at the best engine, as predicted.
    FineTime predicted_wait {0};
    /// Within it the answer has its full worth.
    FineTime target {0};
    /// How long the caller waits yet.
    FineTime patience {0};
};

enum class RejectionReason {
    /// It would probably begin too late.
    Late,
    /// Most requests of its rank would have begun too late for a while.
    Shortage,
    /// A request of a higher rank was found to come too late a moment ago.
    HigherRank,
};

[[nodiscard]] char const* to_string(RejectionReason);

/// A request is not taken.
struct Rejection {
    /// When its caller is to come back.
    Core::Milliseconds retry_after {0};
    RejectionReason reason {RejectionReason::Late};
    /// What eight of ten requests with its prediction wait at most, by what was learned.
    FineTime probable_wait {0};
};

/// The load that it answers: more work than the engines can do, for seconds. If everybody is taken then, everybody is
/// late: streams hold slots and memory for ten seconds, kept parts are put out and read again, which is more reading,
/// and callers leave within their answers. So a request is refused, at once and with the time to come back, when it is
/// not likely to begin in time. What has begun is never touched, and what must go elsewhere after a fault is not asked
/// again.
///
/// The least urgent go first: a request is refused only while none of a lower rank is taken. Where one would have to be
/// while others still are, these are refused in its place.
///
/// Who is refused teaches nothing. So a prediction that rests on a guess refuses nobody until a few were taken on it.
///
/// No I/O and no clock; for one thread.
class Admission {
public:
    /// A rank is closed for so long after a request of a higher one was found to come too late, the lowest one at once,
    /// each other one when those below it have been closed for as long. A rank is open for so long after one of its
    /// requests was taken.
    static constexpr Core::Milliseconds s_closure {500};
    /// One in so many of a closed rank is taken all the same where it could begin in time, so that no class starves.
    static constexpr unsigned s_floor {8};

    /// Requests of a class that are taken in spite of an unproven prediction.
    static constexpr unsigned s_trials {8};

    /// A shortage is one when waits that two of ten requests would not survive have lasted for this part of the target;
    /// a shorter peak passes by itself, and refusing in it turns away what would have begun in time.
    static constexpr double s_patience_part = 0.2;
    /// Callers honour a time to come back up to this part of the time that they still wait.
    static constexpr double s_longest_return_part = 0.32;
    static constexpr FineTime s_shortest_return {250};
    /// Half of the width, as a part of the time, over which returns are spread: those who were refused together don't
    /// come back together.
    static constexpr double s_return_spread = 0.4;

    /// Whether to take it; if not, why, and when to come back. `draw`, from 0 to 1, spreads that.
    [[nodiscard]] std::optional<Rejection> refuse(AdmissionQuestion const&, double draw, Core::MonotonicTime now);

    /// A request that was taken began.
    void note_wait(std::string const& service, std::string const& request_class, FineTime predicted, FineTime actual)
    {
        m_services[service].classes[request_class].correction.note(predicted, actual);
    }

private:
    /// What is known of the requests of one class.
    struct Class {
        WaitCorrection correction;
        unsigned trials {0};
    };

    /// What is known of the requests of one rank.
    struct Rank {
        /// Since when waits have been too long for most without a break.
        std::optional<Core::MonotonicTime> short_since;
        /// When one was last found to come too late, when one was last taken, and when while the rank was not closed.
        std::optional<Core::MonotonicTime> pressed;
        std::optional<Core::MonotonicTime> taken;
        std::optional<Core::MonotonicTime> taken_openly;
        unsigned closed_count {0};
    };

    struct Service {
        std::map<std::string, Class> classes;
        std::map<unsigned, Rank> ranks;
    };

    [[nodiscard]] static bool is_recent(std::optional<Core::MonotonicTime>, Core::MonotonicTime now);
    [[nodiscard]] static bool is_closed(Service const&, unsigned rank, Core::MonotonicTime now);
    [[nodiscard]] static bool is_lower_rank_open(Service const&, unsigned rank, Core::MonotonicTime now);

    std::map<std::string, Service> m_services;
};

}
