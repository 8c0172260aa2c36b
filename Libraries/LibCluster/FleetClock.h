#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace GraniteField::Cluster {

/// A time of day, to the millisecond.
using WallTime = std::chrono::sys_time<Core::Milliseconds>;

/// The time of day that gateways agree on, whatever the clocks of single hosts say. Hosts' clocks may be off, and may
/// jump by seconds and back; the monotonic clock does not. So each gateway keeps one offset between the two, and takes
/// it from the median of what all hosts' clocks say: a few clocks that are off put no request into another window. No
/// I/O and no clock of its own; for one thread.
class FleetClock {
public:
    /// What is heard in the first seconds of a process is believed at once: it may have begun beside a clock that is
    /// off, and its first words come from peers within 300 ms.
    static constexpr Core::Milliseconds s_settling_time {3'000};
    /// Differences up to this are the ways' latencies and are followed; a larger one is a jump.
    static constexpr Core::Milliseconds s_max_latency_error {100};
    /// A jump is believed when it has lasted for this long. Clocks that jump back do so sooner.
    static constexpr Core::Milliseconds s_jump_confirmation_time {10'000};
    /// A time that so many times more hosts agree on is believed at once: this gateway had been alone with its clock.
    static constexpr unsigned s_majority_factor {2};
    /// A source that is silent for this long is left out. Gateways tell their clocks each second.
    static constexpr Core::Milliseconds s_reading_lifetime {3'000};

    enum class Source {
        Host,
        /// Several hosts, of which the median is told.
        Group,
    };

    struct Reading {
        WallTime time;
        unsigned hosts {1};
        Source source {Source::Host};
    };

    explicit FleetClock(Core::MonotonicTime begun)
        : m_begun(begun)
    {
    }

    /// A clock was read; `id` stands for the host or the group.
    void add_reading(std::uint64_t id, Reading, Core::MonotonicTime now);
    /// Looks at the readings; to be called now and then.
    void follow_readings(Core::MonotonicTime now);
    /// Another gateway told the time that it has agreed on with so many hosts.
    void follow_agreed_time(Reading, Core::MonotonicTime now);

    /// The agreed time; nothing before anything was read.
    [[nodiscard]] std::optional<WallTime> at(Core::MonotonicTime now) const;
    /// The median of single hosts' clocks, for others to count as a group; nothing where there is none.
    [[nodiscard]] std::optional<Reading> host_median(Core::MonotonicTime now) const;

private:
    using Offset = Core::Milliseconds;

    struct KnownReading {
        Offset offset {0};
        unsigned hosts {1};
        Source source {Source::Host};
        Core::MonotonicTime received;
    };

    /// The weighted median of those that the predicate takes.
    [[nodiscard]] std::optional<Reading> median(auto accepts, Core::MonotonicTime now) const;
    static Offset offset_of(WallTime time, Core::MonotonicTime now);
    void adopt(Offset, unsigned hosts, Core::MonotonicTime now);

    Core::MonotonicTime m_begun;
    std::map<std::uint64_t, KnownReading> m_readings;
    std::optional<Offset> m_agreed;
    /// The most hosts that have agreed on it.
    unsigned m_agreed_hosts {0};
    /// Since when something else than the agreed offset is told.
    std::optional<Core::MonotonicTime> m_differs_since;
};

}
