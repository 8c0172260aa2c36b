#include <LibGateway/RegionRules.h>

#include <utility>

namespace GraniteField::Gateway {

namespace {

template <typename Rows>
std::map<std::string, std::set<std::string>> restricted_rows(Rows const& rows)
{
    std::map<std::string, std::set<std::string>> restricted;
    for (auto const& [name, row] : rows) {
        if (!row.regions.empty())
            restricted.emplace(name, std::set<std::string>(row.regions.begin(), row.regions.end()));
    }
    return restricted;
}

}

void RegionRules::apply(Table::Table const& table)
{
    m_by_route = restricted_rows(table.routes());
    m_by_workspace = restricted_rows(table.workspaces());
}

std::set<std::string> const* RegionRules::find(RegionsByName const& allowed, std::string const& name)
{
    auto const found = allowed.find(name);
    return found == allowed.end() ? nullptr : &found->second;
}

bool RegionRules::restricts(RoutedRequest const& call) const
{
    return find(m_by_route, call.route->name) != nullptr || find(m_by_workspace, call.workspace) != nullptr;
}

bool RegionRules::allows(RoutedRequest const& call, std::string const& failure_domain) const
{
    if (!restricts(call))
        return true;
    auto const region = m_regions.find(failure_domain);
    if (region == m_regions.end())
        return false;
    auto const is_allowed_by
        = [&](std::set<std::string> const* allowed) { return allowed == nullptr || allowed->contains(region->second); };
    return is_allowed_by(find(m_by_route, call.route->name)) && is_allowed_by(find(m_by_workspace, call.workspace));
}

}
