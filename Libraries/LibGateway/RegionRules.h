#pragma once

#include <LibGateway/RoutedRequest.h>
#include <LibTable/Table.h>

#include <map>
#include <set>
#include <string>

namespace GraniteField::Gateway {

/// Restricts routes and workspaces to regions; a request restricted by both needs a region that both allow. The rules
/// are those of the table in force, not of the table at the arrival of the request, so that the removal of a region
/// also affects waiting requests. Failure domains of unknown regions serve only requests without restrictions. On the
/// gateway's thread only.
class RegionRules {
public:
    /// `regions` holds the region of each failure domain.
    explicit RegionRules(std::map<std::string, std::string> regions)
        : m_regions(std::move(regions))
    {
    }

    void apply(Table::Table const&);

    /// Whether the request is restricted to regions.
    [[nodiscard]] bool restricts(RoutedRequest const&) const;
    /// Whether the request may be served in that failure domain.
    [[nodiscard]] bool allows(RoutedRequest const&, std::string const& failure_domain) const;

private:
    using RegionsByName = std::map<std::string, std::set<std::string>>;

    [[nodiscard]] static std::set<std::string> const* find(RegionsByName const&, std::string const& name);

    std::map<std::string, std::string> m_regions;
    /// Allowed regions by route and by workspace; names without an entry are not restricted.
    RegionsByName m_by_route;
    RegionsByName m_by_workspace;
};

}
