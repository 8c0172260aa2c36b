#pragma once

#include <LibCore/Address.h>
#include <LibCore/Time.h>

#include <optional>

namespace GraniteField::Entry {

/// How an entry talks to the platform.
struct PlatformSettings {
    Core::Address address;
    Core::Milliseconds call_timeout {2'000};
    /// How long one watch waits for a change.
    Core::Milliseconds watch_wait {20'000};
    /// So long after the end of its trouble the store counts as reachable, and what it holds as known. Shortens the
    /// wait of watches where it is set.
    std::optional<Core::Milliseconds> contact_time;
    /// Within which a change that the store has taken is promised to hold everywhere.
    std::optional<Core::Milliseconds> apply_limit;
    /// Within which a failure domain that is drained is promised to get nothing new; nothing where none can be.
    std::optional<Core::Milliseconds> drain_limit;
    /// Between tries while the platform does not answer.
    Core::Milliseconds min_retry_delay {100};
    Core::Milliseconds max_retry_delay {5'000};
    /// How often the host list is read.
    Core::Milliseconds host_interval {1'000};
    /// How often an entry that does not watch looks whether it should.
    Core::Milliseconds idle_interval {200};
};

}
