#include <LibEntry/LinkSet.h>

#include <LibCore/Address.h>
#include <LibCore/Hashing.h>

#include <algorithm>

namespace GraniteField::Entry {

std::vector<Table::BackendServer const*> LinkSet::selected_rows(Table::Table const& table) const
{
    std::map<std::string, std::vector<Table::BackendServer const*>> by_service;
    for (auto const& [name, row] : table.backend_servers())
        by_service[row.service].push_back(&row);
    auto const seed = Core::hash_bytes(m_settings.link.entry_name);
    std::vector<Table::BackendServer const*> selected;
    for (auto& [service, rows] : by_service) {
        std::ranges::sort(rows, std::greater(), [seed](auto const* row) { return Core::hash_bytes(row->name, seed); });
        rows.resize(std::min(rows.size(), m_settings.links_per_service));
        selected.insert(selected.end(), rows.begin(), rows.end());
    }
    return selected;
}

void LinkSet::follow(Table::Table const& table)
{
    auto const rows = selected_rows(table);
    std::set<std::string> names;
    for (auto const* row : rows) {
        names.insert(row->name);
        auto const found = m_links.find(row->name);
        bool const is_same_endpoint = found != m_links.end()
            && found->second->backend_server().side_address == row->side_address
            && found->second->backend_server().service == row->service;
        if (is_same_endpoint) {
            found->second->set_backend_server(*row);
            found->second->set_removed(false);
            continue;
        }
        // A backend server whose address or service changed keeps its old link until the open attempts have ended.
        if (found != m_links.end() && found->second->view().open > 0) {
            found->second->set_removed(true);
            continue;
        }
        m_links[row->name] = std::make_unique<SideLink>(m_context, m_settings.link, *row);
        ++m_generation;
    }
    for (auto const& [name, link] : m_links) {
        if (!names.contains(name))
            link->set_removed(true);
    }
    apply_leaving_hosts();
}

void LinkSet::set_leaving_hosts(std::set<std::string> hosts)
{
    m_leaving_hosts = std::move(hosts);
    apply_leaving_hosts();
}

void LinkSet::apply_leaving_hosts()
{
    for (auto const& [name, link] : m_links) {
        auto const& text = link->backend_server().side_address;
        auto const address = Core::Address::from_string(text);
        // The list names a host by its IP address, or by address and port if several backend servers share the address.
        bool const is_leaving
            = m_leaving_hosts.contains(text) || (address && m_leaving_hosts.contains(address->host()));
        link->set_listed_as_leaving(is_leaving);
    }
}

bool LinkSet::close_removed()
{
    auto const erased = std::erase_if(
        m_links, [](auto const& item) { return item.second->is_removed() && item.second->view().open == 0; });
    if (erased > 0)
        ++m_generation;
    return erased > 0;
}

SideLink* LinkSet::find(std::string const& backend_server)
{
    auto const found = m_links.find(backend_server);
    return found == m_links.end() ? nullptr : found->second.get();
}

std::vector<SideLink*> LinkSet::available(std::string const& service)
{
    std::vector<SideLink*> links;
    for (auto const& [name, link] : m_links) {
        if (link->backend_server().service == service && link->is_available())
            links.push_back(link.get());
    }
    return links;
}

bool LinkSet::has_service(std::string const& service) const
{
    return std::ranges::any_of(
        m_links, [&service](auto const& item) { return item.second->backend_server().service == service; });
}

}
