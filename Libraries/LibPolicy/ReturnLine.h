#pragma once

#include <LibCore/Time.h>
#include <LibPolicy/DecayingRate.h>
#include <LibPolicy/FleetDemand.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Policy {

/// The line of rejected callers: gives each one a time to return at which there will be room, and recognizes callers
/// that return at their time, so that they are admitted before new ones.
///
/// Each gateway gives out times at the rate at which it admits requests itself, so the sum over all gateways matches
/// the room that there is, without a message for each request. The gateways of a failure domain tell each other the
/// times that they have given, since a caller may return to any of them. If the gateway that rejected a request dies
/// before it has told the others, or if the caller returns to another failure domain, the caller counts as new.
/// No I/O and no clock; for one thread.
class ReturnLine {
public:
    /// Identifies a request over its repetitions.
    using Fingerprint = std::uint32_t;

    struct Place {
        Fingerprint request {0};
        Core::MonotonicTime due;
    };

    /// Part of the admitted requests that is reserved for returning callers; the rest is left to new ones.
    static constexpr double s_returning_fraction = 0.5;
    /// Time for which a place is kept after it is due: callers need up to a second for a new connection.
    static constexpr Core::Milliseconds s_grace {1'500};
    /// How much earlier a caller may return, since both sides measure the delay.
    static constexpr Core::Milliseconds s_earliness {20};
    static constexpr std::size_t s_max_places {4'096};
    /// Number of places in one datagram.
    static constexpr std::size_t s_max_reported {32};
    static constexpr DecayingRate::Seconds s_pace_half_life {1};
    /// Interval within which the number of returning callers is limited.
    static constexpr Core::Milliseconds s_interval {500};

    /// Records that a request of the class was admitted.
    void note_admitted(std::string const& service, AdmissionClass, Core::MonotonicTime now);

    /// Returns a time from `min_delay` to `max_delay` at which the line has room for one more, or nullopt if it has
    /// none until then.
    [[nodiscard]] std::optional<Core::Milliseconds> next_delay(std::string const& service, AdmissionClass,
        Core::Milliseconds min_delay, Core::Milliseconds max_delay, Core::MonotonicTime now);

    /// Records the time that a rejected request was given, to be recognized and reported.
    void add(Fingerprint, Core::MonotonicTime due);
    /// Records a place that another gateway of the failure domain reports.
    void receive(Place const& place) { insert(place); }
    /// Returns whether the request returns at its time. Each place is used once at each gateway.
    [[nodiscard]] bool claim(Fingerprint, Core::MonotonicTime now);

    /// Returns the places that were not reported yet, up to s_max_reported; further ones are not reported.
    [[nodiscard]] std::vector<Place> take_unreported();
    [[nodiscard]] bool has_unreported() const { return !m_unreported.empty(); }
    void forget_expired(Core::MonotonicTime now);
    [[nodiscard]] std::size_t size() const { return m_places.size(); }
    /// Number of callers that have returned at their time.
    [[nodiscard]] std::uint64_t claimed_count() const { return m_claimed_count; }

private:
    /// Service, and class without regard to the arrival.
    using Key = std::pair<std::string, AdmissionClass>;

    struct Line {
        DecayingRate admitted {s_pace_half_life};
        /// Number of times that were given out, by interval of s_interval.
        std::map<std::int64_t, unsigned> given;
    };

    [[nodiscard]] static Key key_of(std::string const& service, AdmissionClass);
    void insert(Place const&);

    std::map<Key, Line> m_lines;
    absl::flat_hash_map<Fingerprint, Core::MonotonicTime> m_places;
    /// Places in the order in which they were added, for expiry.
    std::deque<Place> m_order;
    std::vector<Place> m_unreported;
    std::uint64_t m_claimed_count {0};
};

}
