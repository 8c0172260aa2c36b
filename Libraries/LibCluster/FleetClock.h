#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace GraniteField::Cluster {

/// Wall-clock time in milliseconds.
using WallTime = std::chrono::sys_time<Core::Milliseconds>;

/// Wall-clock time that all gateways agree on. Clocks of single hosts may be wrong, and may jump by seconds and back;
/// the monotonic clock does not. Each gateway therefore keeps one offset between the monotonic clock and wall-clock
/// time, taken from the median of all hosts' clocks, so that a few wrong clocks move no request into another window.
/// Performs no I/O and reads no clock; not thread-safe.
class FleetClock {
public:
    /// Time after the start of the process during which each new time is adopted at once: the first reading may come
    /// from a wrong clock, and the first readings of peers arrive within 300 ms.
    static constexpr Core::Milliseconds s_settling_time {3'000};
    /// Differences up to this come from network latency and are followed at once; a larger one counts as a jump.
    static constexpr Core::Milliseconds s_max_latency_error {100};
    /// A jump is adopted after it has lasted for this long. Clocks that jump back do so sooner.
    static constexpr Core::Milliseconds s_jump_confirmation_time {10'000};
    /// A time that this many times more hosts agree on is adopted at once, since this gateway was isolated with its own
    /// clock.
    static constexpr unsigned s_majority_factor {2};
    /// Age at which a reading is discarded. Gateways send their clocks once a second.
    static constexpr Core::Milliseconds s_reading_lifetime {3'000};

    enum class Source {
        Host,
        /// A group of hosts, of which the median is sent.
        Group,
    };

    struct Reading {
        WallTime time;
        unsigned hosts {1};
        Source source {Source::Host};
    };

    explicit FleetClock(Core::MonotonicTime started)
        : m_started(started)
    {
    }

    /// Adds a reading of a clock; `id` identifies the host or the group.
    void add_reading(std::uint64_t id, Reading, Core::MonotonicTime now);
    /// Updates the agreed time from the readings; to be called periodically.
    void follow_readings(Core::MonotonicTime now);
    /// Applies the time that another gateway has agreed on with the given number of hosts.
    void follow_agreed_time(Reading, Core::MonotonicTime now);

    /// Returns the agreed time; nullopt before the first reading.
    [[nodiscard]] std::optional<WallTime> at(Core::MonotonicTime now) const;
    /// Returns the median of single hosts' clocks, which other gateways count as a group; nullopt if there is none.
    [[nodiscard]] std::optional<Reading> host_median(Core::MonotonicTime now) const;

private:
    using Offset = Core::Milliseconds;

    struct KnownReading {
        Offset offset {0};
        unsigned hosts {1};
        Source source {Source::Host};
        Core::MonotonicTime received;
    };

    /// Returns the weighted median of the readings that the predicate accepts.
    [[nodiscard]] std::optional<Reading> median(auto accepts, Core::MonotonicTime now) const;
    static Offset offset_of(WallTime time, Core::MonotonicTime now);
    void adopt(Offset, unsigned hosts, Core::MonotonicTime now);

    Core::MonotonicTime m_started;
    std::map<std::uint64_t, KnownReading> m_readings;
    std::optional<Offset> m_agreed;
    /// Largest number of hosts that have agreed on the offset.
    unsigned m_agreed_hosts {0};
    /// When readings began to differ from the agreed offset.
    std::optional<Core::MonotonicTime> m_differs_since;
};

}
