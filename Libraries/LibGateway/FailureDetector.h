#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Detects dead backend servers from the observations of many gateways. A crashed server looks idle to all of them and
/// attracts the next request of each: without detection, 103 gateways made 4,030 connections to 45 crashed engines
/// within two seconds. No I/O and no clock.
class FailureDetector {
public:
    /// Number of answers of a server that break off within the window and make it suspected: all streams of a dead
    /// server end at the same moment. A server that spoils one answer in twenty, at a few answers a second, seldom
    /// breaks two within the window.
    static constexpr std::size_t s_min_breaks = 2;
    static constexpr Core::Milliseconds s_break_window {300};
    /// Number of other failure domains whose relays must suspect the server before it is avoided here: a single one may
    /// be partitioned from it.
    static constexpr std::size_t s_min_remote_domains = 2;
    /// Time for which the suspicion of another failure domain counts.
    static constexpr Core::Milliseconds s_suspicion_expiry {1'000};

    /// Records a broken answer of the server. Returns whether the server is now suspected.
    [[nodiscard]] bool note_broken_answer(std::uint64_t server, Core::MonotonicTime now);
    /// Records the suspicion of another failure domain's relay. Returns whether enough failure domains suspect the
    /// server.
    [[nodiscard]] bool note_remote_suspicion(std::uint64_t server, std::uint64_t relay, Core::MonotonicTime now);
    /// Removes observations that no longer count.
    void remove_expired(Core::MonotonicTime now);

private:
    struct Observation {
        std::uint64_t source {0};
        Core::MonotonicTime time;
    };
    using Observations = absl::flat_hash_map<std::uint64_t, std::deque<Observation>>;

    static void remove_expired(Observations&, Core::Milliseconds expiry, Core::MonotonicTime now);

    Observations m_breaks;
    Observations m_remote_suspicions;
};

}
