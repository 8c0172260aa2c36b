#pragma once

#include <LibGateway/RoutedRequest.h>
#include <LibTable/Table.h>

#include <map>
#include <set>
#include <string>

namespace GraniteField::Gateway {

/// Where requests may be served: a route or a workspace may be bound to some regions, and what is bound by both needs
/// one of both. It asks the table in force, not the one by which the request came: a region that was taken away
/// meanwhile is closed to what still waits. Failure domains of unknown regions are open only to what is not bound.
/// On the gateway's thread only.
class RegionRules {
public:
    /// The region of each failure domain.
    explicit RegionRules(std::map<std::string, std::string> regions)
        : m_regions(std::move(regions))
    {
    }

    void apply(Table::Table const&);

    /// Whether the request is bound to regions at all.
    [[nodiscard]] bool restricts(RoutedRequest const&) const;
    /// Whether the request may be served in that failure domain.
    [[nodiscard]] bool allows(RoutedRequest const&, std::string const& failure_domain) const;

private:
    using RegionsByName = std::map<std::string, std::set<std::string>>;

    [[nodiscard]] static std::set<std::string> const* find(RegionsByName const&, std::string const& name);

    std::map<std::string, std::string> m_regions;
    /// Regions by route and by workspace, for those that are bound.
    RegionsByName m_by_route;
    RegionsByName m_by_workspace;
};

}
