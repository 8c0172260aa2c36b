#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>

#include <absl/container/flat_hash_map.h>

namespace GraniteField::Gateway {

/// Concludes from what many gateways met that a backend server is dead. After a crash it looks empty to all of them, so
/// that each would send it its next request: 4,030 connections to 45 crashed engines among 103 gateways within two
/// seconds. No I/O and no clock.
class FailureDetector {
public:
    /// Answers that break off at one server within the window mean that it has died: its streams end at one moment. A
    /// server that spoils single answers, one in twenty of a few a second, seldom breaks two so close together.
    static constexpr std::size_t s_min_breaks = 2;
    static constexpr Core::Milliseconds s_break_window {300};
    /// Relays of other failure domains that must have found it dead before it is left alone here as well: one alone may
    /// be parted from it.
    static constexpr std::size_t s_min_remote_domains = 2;
    /// How long another domain's word counts.
    static constexpr Core::Milliseconds s_suspicion_expiry {1'000};

    /// An answer of the server broke off; says whether it is suspected from now on.
    [[nodiscard]] bool note_broken_answer(std::uint64_t server, Core::MonotonicTime now);
    /// A relay of another failure domain says that it is dead; says whether enough of them do.
    [[nodiscard]] bool note_remote_suspicion(std::uint64_t server, std::uint64_t relay, Core::MonotonicTime now);
    /// Drops what no longer counts.
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
