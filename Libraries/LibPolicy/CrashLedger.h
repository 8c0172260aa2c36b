#pragma once

#include <LibPolicy/CrashFacts.h>
#include <LibPolicy/RecentDigests.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace GraniteField::Policy {

/// What a ledger has newly concluded, for the log.
struct CrashConclusion {
    enum class Kind {
        Quarantined,
        Cleared,
        /// Nobody asked for it for so long that it is forgotten.
        Expired,
    };
    /// Who concluded it.
    enum class Source {
        Here,
        Elsewhere,
    };
    Kind kind {Kind::Quarantined};
    Source source {Source::Here};
    Core::RequestDigest digest;
    /// Crashes at which it was, as far as known here, and the moments in which these came.
    std::size_t crashes {0};
    std::size_t moments {0};
    /// Whether it had been held before.
    bool was_quarantined {false};
};

/// Remembers which requests were at backend servers when these crashed, from one arrival of a request to the next and
/// from one entry to another, and concludes which request crashes every server that begins it. Such a request is
/// quarantined: it reaches no server any more. No I/O and no clock; for one thread.
///
/// A server dies with dozens of requests on it, of which one did it, and those that go on elsewhere meet the same one
/// there again. So a request is not judged by its crashes alone: the one that explains more of them than any other that
/// was there goes first, and what it explains is held against nobody else. Whoever ends well anywhere is cleared of all
/// before it. docs/design/crashing-requests.md compares the ways.
class CrashLedger {
public:
    /// Words for the end of one server within this time are about one crash: entries notice it one after the other. A
    /// server that comes back under the name that it had takes longer to start and to crash again.
    static constexpr Core::Milliseconds s_same_crash {1'000};
    /// Crashes within this time are one moment: a host or a failure domain takes many servers down at once, and a
    /// request that is asked for by many is on all of them.
    static constexpr Core::Milliseconds s_same_moment {300};
    /// A crash is judged when it is that old: by then all entries know who was there, also where three datagrams in ten
    /// are lost (twelve tries).
    static constexpr Core::Milliseconds s_settling_time {600};
    /// The same where all crashes are of one moment: copies that others have at living servers mostly end by then, and
    /// clear the request.
    static constexpr Core::Milliseconds s_lone_moment_time {1'500};
    /// What it takes, in points: a crash counts 2 where the request had just begun there, else 1.
    static constexpr unsigned s_points_to_quarantine = 6;
    /// By so many points it must explain more than any other request that was at its crashes: a whole crash.
    static constexpr unsigned s_lead = 2;
    /// One point more for each second crash of the service that it does not explain, up to this: where servers crash
    /// for other reasons as well, being there says less.
    static constexpr unsigned s_most_extra_points = 4;
    /// Places at which its servers crashed, at least: one broken host crashes whatever it gets.
    static constexpr std::size_t s_least_places = 2;
    /// A request that has ended well so lately before a crash is asked for by many, or was harmless then: crashes of
    /// one moment count once for it.
    static constexpr Core::Milliseconds s_good_memory {60'000};
    /// How far the times of two entries' words for one event may lie apart.
    static constexpr Core::Milliseconds s_clock_slack {300};

    /// How long a crash is held against whoever was there, and a quarantined request is remembered that nobody asks
    /// for. A request that comes more seldom crashes three servers each time.
    static constexpr Core::Milliseconds s_memory {3'600'000};
    /// Bounds; the oldest goes first. Together below 3 MB.
    static constexpr std::size_t s_most_crashes = 512;
    static constexpr std::size_t s_most_requests_of_a_crash = 128;
    static constexpr std::size_t s_most_words = 4'096;

    /// News are told again and again for this long after they came, with each datagram: whoever tells them may be
    /// killed in the next moment, and datagrams are lost.
    static constexpr Core::Milliseconds s_telling_time {1'000};
    static constexpr Core::Milliseconds s_telling_pause {50};
    /// Quarantined requests are told for good with this pause, so that whoever begins or was cut off hears of them.
    static constexpr Core::Milliseconds s_refresh {300};
    /// What one datagram holds of each kind: some 11 KB together at the most, of the 64 that it can have.
    static constexpr std::size_t s_most_told = 100;

    /// Whether nothing is held against any request.
    [[nodiscard]] bool is_empty() const { return m_crashes_of.empty() && m_quarantined.empty(); }
    /// Whether the request may reach no server. Counts as being asked for.
    [[nodiscard]] bool is_quarantined(Core::RequestDigest const&, Core::MonotonicTime now);
    /// Whether the request would be quarantined for what is known so far, while others may still know more: it should
    /// wait for that moment, at most s_lone_moment_time. Spares the servers that it would crash meanwhile, and what
    /// runs there.
    [[nodiscard]] bool is_in_doubt(Core::RequestDigest const&, Core::MonotonicTime now) const;
    /// Places where servers crashed under the request, and where it should not be sent while there are others.
    [[nodiscard]] std::vector<std::uint64_t> places_crashed(Core::RequestDigest const&) const;
    /// Moments of crashes that are held against the request, as old as they are.
    [[nodiscard]] std::size_t moments_of(Core::RequestDigest const&) const;

    /// Whether what was taken is to be told on.
    enum class Relaying {
        No,
        Yes,
    };
    /// This entry met it.
    void note_crash(CrashWitness const&, Core::MonotonicTime now);
    /// The request ran to a good end; says whether anything had been held against it. To be told of every request: what
    /// ended well before a crash did not cause it.
    bool note_good_end(Core::RequestDigest const&, Core::MonotonicTime now);
    /// An operator lets the request go; says whether anything had been held against it.
    bool release(Core::RequestDigest const& digest, Core::MonotonicTime now) { return note_good_end(digest, now); }
    /// Others' word.
    void take(CrashNews const&, Relaying, Core::MonotonicTime now);

    /// Judges what has settled, and drops what is too old. To be called often.
    void turn(Core::MonotonicTime now);

    /// Whether take_news() has something.
    [[nodiscard]] bool has_news(Core::MonotonicTime now) const;
    /// What is to be told now.
    [[nodiscard]] CrashNews take_news(Core::MonotonicTime now);
    [[nodiscard]] std::vector<CrashConclusion> take_conclusions();

    struct Quarantined {
        Core::RequestDigest digest;
        Core::MonotonicTime since;
        Core::MonotonicTime asked;
    };
    [[nodiscard]] std::size_t count_quarantined() const { return m_quarantined.size(); }
    /// Those that are held back, in no order.
    [[nodiscard]] std::vector<Quarantined> quarantined() const;

private:
    /// That a request was at a crash. Of two words for it the stronger one counts, then the later one.
    struct Presence {
        Exposure exposure {Exposure::Weak};
        Core::MonotonicTime crashed;

        /// Whether the other word says nothing more.
        [[nodiscard]] bool covers(Presence const& other) const
        {
            bool const is_stronger = other.exposure > exposure;
            bool const is_later = other.exposure == exposure && other.crashed > crashed + s_clock_slack;
            return !is_stronger && !is_later;
        }
    };
    struct Crash {
        ServerLife server;
        Core::MonotonicTime time;
        absl::flat_hash_map<Core::RequestDigest, Presence> requests;
    };
    struct Hold {
        Core::MonotonicTime since;
        Core::MonotonicTime asked;
        Core::MonotonicTime told;
    };
    /// A fact that is still being told.
    template <typename Fact>
    struct Telling {
        Fact fact;
        Core::MonotonicTime until;
        Core::MonotonicTime next;
    };
    /// What speaks against a request.
    struct Evidence {
        /// In the order of their times.
        std::vector<Crash const*> crashes;
        unsigned points {0};
        std::size_t moments {0};
    };
    /// Numbers crashes in the order in which they became known here.
    using CrashNumber = std::uint64_t;

    bool add_witness(CrashWitness const&, Core::MonotonicTime now);
    /// Others may not know that the request has ended well here.
    void tell_good_end(Core::RequestDigest const&, Core::MonotonicTime now);
    /// The crash that the word is about, which is new where none is known.
    CrashNumber crash_of(ServerLife const&, Core::MonotonicTime crashed);
    bool add_clearance(DigestWord const&, CrashConclusion::Source);
    bool add_quarantine(DigestWord const&, CrashConclusion::Source, Core::MonotonicTime now);
    void forget_oldest_crash();
    void forget_request(Core::RequestDigest const&, Core::MonotonicTime until);
    void forget_old(Core::MonotonicTime now);
    [[nodiscard]] bool is_explained(Crash const&) const;
    /// Of crashes until then that no quarantined request explains.
    [[nodiscard]] Evidence evidence_of(Core::RequestDigest const&, Core::MonotonicTime until) const;
    /// Points of those crashes at which the request was; they are in the order of their times.
    [[nodiscard]] Evidence weigh(Core::RequestDigest const&, std::span<Crash const* const> crashes) const;
    /// Whether the request had ended well shortly before the crash.
    [[nodiscard]] bool was_good_before(Core::RequestDigest const&, Crash const&) const;
    [[nodiscard]] bool is_convincing(Core::RequestDigest const&, Evidence const&, Core::MonotonicTime until) const;
    [[nodiscard]] bool leads(Core::RequestDigest const&, Evidence const&, Core::MonotonicTime until) const;
    [[nodiscard]] std::size_t count_unexplained(
        Core::RequestDigest const&, Evidence const&, Core::MonotonicTime until) const;
    /// Quarantines the one request that explains most, if any explains enough; says whether it did.
    bool quarantine_one(Core::MonotonicTime now);

    template <typename Fact>
    void tell(std::vector<Telling<Fact>>&, Fact const&, Core::MonotonicTime now);
    template <typename Fact>
    static void take_due(std::vector<Telling<Fact>>&, std::vector<Fact>& target, Core::MonotonicTime now);

    std::map<CrashNumber, Crash> m_crashes;
    CrashNumber m_next_crash {0};
    absl::flat_hash_map<Core::RequestDigest, absl::flat_hash_set<CrashNumber>> m_crashes_of;
    /// When requests last ended well, here or elsewhere, or were let go.
    RecentDigests m_good {s_most_words};
    /// Of these, what others have been told.
    RecentDigests m_told_good {s_most_words};
    absl::flat_hash_map<Core::RequestDigest, Hold> m_quarantined;
    /// Until when crashes are still to be judged, without the settling time.
    std::optional<Core::MonotonicTime> m_to_judge;
    std::vector<Telling<CrashWitness>> m_witnesses_to_tell;
    std::vector<Telling<DigestWord>> m_clearances_to_tell;
    std::vector<Telling<DigestWord>> m_quarantines_to_tell;
    std::vector<CrashConclusion> m_conclusions;
};

}
