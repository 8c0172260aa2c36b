#pragma once

#include <LibCore/Identifiers.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedServers.h>

#include <algorithm>

namespace GraniteField::Entry {

/// Versions of the state that entries share.
struct StateVersions {
    Core::TableVersion table;
    DrainsVersion drains;
    ListRevision servers;

    /// Whether any part is newer than in `other`.
    [[nodiscard]] bool is_ahead_of(StateVersions const& other) const
    {
        return table > other.table || drains > other.drains || servers > other.servers;
    }

    /// Adopts the newer version of each part.
    void merge(StateVersions const& other)
    {
        table = std::max(table, other.table);
        drains = std::max(drains, other.drains);
        servers = std::max(servers, other.servers);
    }

    friend auto operator<=>(StateVersions const&, StateVersions const&) = default;
};

}
