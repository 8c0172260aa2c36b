#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>

#include <optional>

namespace GraniteField::Entry {

/// Settings of an entry's connection to the platform.
struct PlatformSettings {
    Core::Address address;
    Core::Milliseconds call_timeout {2'000};
    /// Longest time for which a watch waits for a change.
    Core::Milliseconds watch_wait {20'000};
    /// Time after a fault of the store or its network within which every process has reached it and knows its content.
    /// If set, it also limits the wait of watches.
    std::optional<Core::Milliseconds> contact_time;
    /// Time within which a change that the store has accepted must be in force at all gateways.
    std::optional<Core::Milliseconds> apply_limit;
    /// Time within which a drained failure domain must receive no new requests; unset if failure domains cannot be
    /// drained.
    std::optional<Core::Milliseconds> drain_limit;
    /// Bounds of the delay between retries while the platform does not respond.
    Core::Milliseconds min_retry_delay {100};
    Core::Milliseconds max_retry_delay {5'000};
    /// Writing calls that the store bears in a second, from all processes together.
    double writes_per_second {100};
    /// Interval at which the host list is read.
    Core::Milliseconds host_interval {1'000};
    /// Interval at which an entry that does not watch checks whether it should.
    Core::Milliseconds idle_interval {200};
};

}
