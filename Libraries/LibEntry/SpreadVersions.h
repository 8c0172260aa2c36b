#pragma once

#include <LibCore/Identifiers.h>
#include <LibEntry/SharedHosts.h>
#include <LibEntry/SharedServers.h>

namespace GraniteField::Entry {

/// The versions of what entries hand on to each other.
struct SpreadVersions {
    Core::TableVersion table;
    HostsVersion hosts;
    ListRevision servers;

    /// Whether anything of it is newer.
    [[nodiscard]] bool is_ahead_of(SpreadVersions const& other) const
    {
        return table > other.table || hosts > other.hosts || servers > other.servers;
    }

    friend auto operator<=>(SpreadVersions const&, SpreadVersions const&) = default;
};

}
