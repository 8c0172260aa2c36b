#pragma once

#include <LibPolicy/CrashFacts.h>
#include <LibPolicy/RecentRequestTimes.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace GraniteField::Policy {

/// Change of a ledger's conclusions, for the log.
struct CrashConclusion {
    enum class Kind {
        Quarantined,
        Cleared,
        /// The request was not received for so long that its quarantine expired.
        Expired,
    };
    /// Whether this gateway or another one concluded it.
    enum class Source {
        Here,
        Elsewhere,
    };
    Kind kind {Kind::Quarantined};
    Source source {Source::Here};
    Core::RequestDigest digest;
    /// Number of known crashes at which the request was present, and the number of moments in which they occurred.
    std::size_t crashes {0};
    std::size_t moments {0};
    /// Whether the request was quarantined before.
    bool was_quarantined {false};
};

/// Records which requests were at backend servers when these crashed, across retries by callers and across gateways,
/// and finds requests that crash every server that starts them. Such a request is quarantined: it is not sent to any
/// server. No I/O and no clock; for one thread.
///
/// A server crashes with dozens of requests on it, of which one caused the crash, and those that are retried elsewhere
/// meet that one there again. A request is therefore not judged by the number of its crashes alone: the one that
/// explains more crashes than any other request present is quarantined first, and the crashes that it explains no
/// longer count against others. A request that completes anywhere is cleared of all earlier crashes.
///
/// The parts that prompts share are judged in the same way as whole requests, since all requests with a part may crash
/// servers although no two are equal. Both are called subjects here. Subjects of the same request are judged from the
/// most specific to the least: the request, then its parts from the last to the first, which most requests share.
/// docs/design/crashing-requests.md compares the alternatives.
class CrashLedger {
public:
    /// Reports of the end of one server within this time concern the same crash, since gateways notice it at different
    /// times. A server that restarts under the same name takes longer to start and to crash again.
    static constexpr Core::Milliseconds s_same_crash {1'000};
    /// Crashes within this time form one moment: a host or a failure domain takes many servers down at once, and a
    /// popular request is on all of them.
    static constexpr Core::Milliseconds s_same_moment {300};
    /// Age at which a crash is judged. By then all gateways know which requests were present, also if 30% of datagrams
    /// are lost (twelve transmissions).
    static constexpr Core::Milliseconds s_settling_time {600};
    /// The same if all crashes belong to one moment. By then most copies of the request at running servers have
    /// completed, which clears it.
    static constexpr Core::Milliseconds s_single_moment_settling_time {1'500};
    /// Points needed for a quarantine.
    static constexpr unsigned s_points_to_quarantine = 6;
    /// Points of a request for a crash. Servers also crash before they answer and long after, so its exposure does not
    /// matter; for a part, a crash counts 2 if a request with it had just started there, else 1.
    static constexpr unsigned s_points_of_request = 2;
    /// The same for a part that is followed by other shared parts: one of these may be the cause.
    static constexpr unsigned s_points_to_quarantine_outer_part = 12;
    /// The same for a part that was cleared shortly before.
    static constexpr unsigned s_points_to_quarantine_popular_part = 20;
    /// Limit of the points of a part for the crashes of one moment.
    static constexpr unsigned s_max_points_of_moment = 4;
    /// Number of more specific parts that are taken for the causes of the crashes of an outer part instead of the part
    /// itself.
    static constexpr unsigned s_max_causes_of_outer_part = 4;
    /// Points by which the request must exceed any other request that was present at its crashes: one full crash.
    static constexpr unsigned s_min_lead = 2;
    /// Limit of the points needed in addition, one for every second crash of the service that the request does not
    /// explain: where servers also crash for other reasons, presence at a crash is weaker evidence.
    static constexpr unsigned s_max_extra_points = 4;
    /// Minimum number of addresses of crashed servers: a single broken host crashes under any request.
    static constexpr std::size_t s_min_addresses = 2;
    /// A request that completed within this time before a crash is popular, or was harmless then: its crashes of one
    /// moment count once.
    static constexpr Core::Milliseconds s_recent_success_time {60'000};
    /// Maximum difference between the times that two gateways report for one event.
    static constexpr Core::Milliseconds s_clock_tolerance {300};

    /// Time for which crashes are remembered, and for which a quarantined request is remembered after it was last
    /// received. A request that is received less often crashes three servers each time.
    static constexpr Core::Milliseconds s_retention {3'600'000};
    /// Memory limits, together less than 16 MB. The oldest records are dropped first.
    static constexpr std::size_t s_max_crashes = 512;
    static constexpr std::size_t s_max_subjects_per_crash = 256;
    static constexpr std::size_t s_max_digests = 4'096;
    static constexpr std::size_t s_max_successes = 16'384;

    /// Time for which a report is repeated with each datagram: the reporting gateway may be killed at any moment, and
    /// datagrams are lost.
    static constexpr Core::Milliseconds s_report_duration {1'000};
    static constexpr Core::Milliseconds s_report_interval {50};
    /// Interval at which quarantined requests are reported for as long as they are quarantined, so that gateways that
    /// start or were cut off learn of them.
    static constexpr Core::Milliseconds s_refresh_interval {300};
    /// Maximum number of reports of each kind in one datagram: together at most about 24 KB of the 64 KB that it can
    /// hold.
    static constexpr std::size_t s_max_reported = 100;

    /// Whether no crash is recorded for any request and none is quarantined.
    [[nodiscard]] bool is_empty() const { return m_crashes_of.empty() && m_quarantined.empty(); }
    /// Whether the request must not be sent to any server. Counts as receiving the request.
    [[nodiscard]] bool is_quarantined(CrashIdentity const&, Core::MonotonicTime now);
    /// Whether the request would be quarantined by the evidence so far, while other gateways may still report more. It
    /// should wait until that is decided, at most s_single_moment_settling_time, to spare the servers that it would
    /// crash and the requests running there.
    [[nodiscard]] bool is_suspected(CrashIdentity const&, Core::MonotonicTime now) const;
    /// Addresses of servers that crashed with the request. It should not be sent there while there are others.
    [[nodiscard]] std::vector<std::uint64_t> crashed_addresses(Core::RequestDigest const&) const;
    /// Number of moments of crashes with the request, or with a part of it that no request has completed with lately,
    /// whatever their age.
    [[nodiscard]] std::size_t count_crash_moments(CrashIdentity const&) const;

    /// Whether a received report is forwarded.
    enum class Relaying {
        No,
        Yes,
    };
    /// Records a crash that this gateway observed.
    void note_crash(CrashWitness const&, Core::MonotonicTime now);
    /// Returns the time of the crash of that run of a server, if this or another gateway has observed it.
    [[nodiscard]] std::optional<Core::MonotonicTime> crash_time_of(std::uint64_t incarnation) const;
    /// Number of crashes that were ever recorded.
    [[nodiscard]] std::uint64_t recorded_crashes() const { return m_next_crash; }
    /// Records the completion of a request. Returns whether any crash was recorded for it or it was quarantined. Call
    /// this for every request: one that completed before a crash did not cause it.
    bool note_success(CrashIdentity const& identity, Core::MonotonicTime now)
    {
        return note_success(identity, now, now);
    }
    bool note_success(CrashIdentity const&, Core::MonotonicTime completed, Core::MonotonicTime now);
    /// Records that a server has been writing the answer to a request for longer than a crashing part allows. Clears
    /// its parts like a completion, but not the request itself.
    void note_progress(CrashIdentity const&, Core::MonotonicTime now);
    /// Releases a request or a part on behalf of an operator. Returns the same as note_success().
    bool release(Core::RequestDigest const& digest, Core::MonotonicTime now) { return note_success(digest, now); }
    /// Merges a report of another gateway.
    void apply(CrashReport const&, Relaying, Core::MonotonicTime now);

    /// Judges crashes that have settled and drops old records. Call this often.
    void tick(Core::MonotonicTime now);

    /// Whether take_due_report() would return anything.
    [[nodiscard]] bool has_due_reports(Core::MonotonicTime now) const;
    /// Returns the items to report now.
    [[nodiscard]] CrashReport take_due_report(Core::MonotonicTime now);
    [[nodiscard]] std::vector<CrashConclusion> take_conclusions();

    struct Quarantined {
        Core::RequestDigest digest;
        Core::MonotonicTime since;
        Core::MonotonicTime last_requested;
    };
    [[nodiscard]] std::size_t count_quarantined() const { return m_quarantined.size(); }
    /// Returns the quarantined requests, unordered.
    [[nodiscard]] std::vector<Quarantined> quarantined() const;

private:
    enum class SubjectKind : std::uint8_t {
        Request,
        /// The last shared part of its prompts.
        InnermostPart,
        OuterPart,
    };
    /// Presence of a subject at a crash, in one or more requests. Of two reports of it the one with the stronger
    /// exposure takes precedence, then the later one.
    struct Presence {
        SubjectKind kind {SubjectKind::Request};
        Exposure exposure {Exposure::Weak};
        Core::MonotonicTime crashed;
        /// Less specific subjects of all these requests.
        std::vector<Core::RequestDigest> companions;

        /// Adds another report. Returns whether that changed anything.
        bool merge(Presence const& other);
        [[nodiscard]] bool has_companion(Core::RequestDigest const& digest) const
        {
            return std::ranges::find(companions, digest) != companions.end();
        }
    };
    struct Crash {
        ServerIncarnation server;
        Core::MonotonicTime time;
        absl::flat_hash_map<Core::RequestDigest, Presence> subjects;
    };
    struct QuarantineEntry {
        Core::MonotonicTime since;
        Core::MonotonicTime last_requested;
        Core::MonotonicTime last_reported;
    };
    /// A fact that is still being reported.
    template <typename Fact>
    struct PendingReport {
        Fact fact;
        Core::MonotonicTime until;
        Core::MonotonicTime next;
    };
    /// Evidence against a request.
    struct Evidence {
        /// Ordered by time.
        std::vector<Crash const*> crashes;
        unsigned points {0};
        /// Points with which subjects are compared: a part has points for each crash, also of one moment.
        unsigned weight {0};
        std::size_t moments {0};
        SubjectKind kind {SubjectKind::Request};
    };
    /// Numbers crashes in the order in which this gateway learned of them.
    using CrashNumber = std::uint64_t;

    bool add_witness(CrashWitness const&, Core::MonotonicTime now);
    bool add_presence(CrashNumber, Core::RequestDigest const&, Presence const&);
    [[nodiscard]] bool is_subject_suspected(Core::RequestDigest const&, Core::MonotonicTime now) const;
    /// Reports the request's last completion here, which other gateways may not know.
    void report_success(Core::RequestDigest const&, Core::MonotonicTime now);
    /// Returns the crash of that server at that time, added if it is not known.
    CrashNumber find_or_add_crash(ServerIncarnation const&, Core::MonotonicTime crashed);
    bool add_clearance(DigestEvent const&, CrashConclusion::Source);
    /// Records that the subject has not crashed a server. Returns whether there was evidence against it.
    bool clear_subject(Core::RequestDigest const&, Core::MonotonicTime completed, Core::MonotonicTime now);
    bool clear_parts(CrashIdentity const&, Core::MonotonicTime completed, Core::MonotonicTime now);
    /// Whether the clearance of a subject with evidence or in quarantine is worth a log line.
    [[nodiscard]] bool is_notable_clearance(Core::RequestDigest const&) const;
    bool add_quarantine(DigestEvent const&, CrashConclusion::Source, Core::MonotonicTime now);
    void forget_oldest_crash();
    void forget_request(Core::RequestDigest const&, Core::MonotonicTime until);
    void forget_old(Core::MonotonicTime now);
    /// Whether a quarantined subject explains the crash. For the parts of a request the request does not explain it,
    /// since they may explain the crashes of further requests as well.
    [[nodiscard]] bool is_explained_for(Core::RequestDigest const&, Crash const&) const;
    /// Whether all requests with the subject that were at the crash have the companion as well.
    [[nodiscard]] static bool accompanies(
        Core::RequestDigest const& companion, Core::RequestDigest const& subject, Crash const&);
    [[nodiscard]] static bool accompanies(
        Core::RequestDigest const& companion, Core::RequestDigest const& subject, Evidence const&);
    /// Whether the subject is a part with which a request completed shortly before the last crash.
    [[nodiscard]] bool is_popular_part(Core::RequestDigest const&, Evidence const&) const;
    [[nodiscard]] unsigned needed_points(Core::RequestDigest const&, Evidence const&) const;
    /// Whether the rival may explain the crashes in the subject's place.
    [[nodiscard]] bool is_alternative(Core::RequestDigest const& rival, Core::RequestDigest const& subject,
        Evidence const&, Core::MonotonicTime until) const;
    /// Returns the evidence of crashes up to that time that no quarantined request explains.
    [[nodiscard]] Evidence evidence_of(Core::RequestDigest const&, Core::MonotonicTime until) const;
    /// Scores the crashes at which the request was present. They must be ordered by time.
    [[nodiscard]] Evidence score(Core::RequestDigest const&, std::span<Crash const* const> crashes) const;
    /// Whether the request had completed shortly before the crash.
    [[nodiscard]] bool succeeded_recently_before(Core::RequestDigest const&, Crash const&) const;
    [[nodiscard]] bool is_convincing(Core::RequestDigest const&, Evidence const&, Core::MonotonicTime until) const;
    [[nodiscard]] bool has_sufficient_lead(
        Core::RequestDigest const&, Evidence const&, Core::MonotonicTime until) const;
    [[nodiscard]] std::size_t count_unexplained(
        Core::RequestDigest const&, Evidence const&, Core::MonotonicTime until) const;
    /// Quarantines the request that explains most crashes, if it explains enough of them. Returns whether it did.
    bool quarantine_one(Core::MonotonicTime now);

    template <typename Fact>
    void schedule_report(std::vector<PendingReport<Fact>>&, Fact const&, Core::MonotonicTime now);
    template <typename Fact>
    static void take_due(std::vector<PendingReport<Fact>>&, std::vector<Fact>& target, Core::MonotonicTime now);

    std::map<CrashNumber, Crash> m_crashes;
    CrashNumber m_next_crash {0};
    absl::flat_hash_map<Core::RequestDigest, absl::flat_hash_set<CrashNumber>> m_crashes_of;
    /// Time of the last completion or release of each request, at any gateway.
    RecentRequestTimes m_successes {s_max_successes};
    /// The part of these that this gateway has reported.
    RecentRequestTimes m_reported_successes {s_max_successes};
    absl::flat_hash_map<Core::RequestDigest, QuarantineEntry> m_quarantined;
    /// Results of is_suspected() for each subject since the last tick: many requests wait for the same one.
    mutable absl::flat_hash_map<Core::RequestDigest, bool> m_suspicions;
    /// Time of the newest evidence that is not judged yet, or nullopt.
    std::optional<Core::MonotonicTime> m_last_unjudged;
    std::vector<PendingReport<CrashWitness>> m_pending_witnesses;
    std::vector<PendingReport<DigestEvent>> m_pending_clearances;
    std::vector<PendingReport<DigestEvent>> m_pending_quarantines;
    std::vector<CrashConclusion> m_conclusions;
};

}
