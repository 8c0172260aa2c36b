#pragma once

#include <LibCore/Identifiers.h>
#include <LibEntry/SharedDrains.h>
#include <LibEntry/SharedServers.h>

#include <algorithm>

namespace GraniteField::Entry {

/// The versions of what entries hand on to each other.
struct StateVersions {
    Core::TableVersion table;
    DrainsVersion drains;
    ListRevision servers;

    /// Whether anything of it is newer.
    [[nodiscard]] bool is_ahead_of(StateVersions const& other) const
    {
        return table > other.table || drains > other.drains || servers > other.servers;
    }

    /// Takes over what is newer in the other ones.
    void merge(StateVersions const& other)
    {
        table = std::max(table, other.table);
        drains = std::max(drains, other.drains);
        servers = std::max(servers, other.servers);
    }

    friend auto operator<=>(StateVersions const&, StateVersions const&) = default;
};

}
