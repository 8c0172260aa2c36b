#include <LibGateway/VersionHistory.h>

#include <utility>

namespace GraniteField::Gateway {

void VersionHistory::apply(Entry::ServerList const& list, Core::MonotonicTime now)
{
    if (!m_first_list)
        m_first_list = now;
    for (auto& [service, versions] : m_services) {
        for (auto& [version, listing] : versions) {
            if (std::exchange(listing.is_listed, false))
                listing.last_listed = now;
        }
    }
    for (auto const& server : list.servers)
        m_services[server.service][server.software_version] = {true, now};
    for (auto& [service, versions] : m_services) {
        std::erase_if(versions, [now](auto const& item) {
            return !item.second.is_listed && Core::elapsed(item.second.last_listed, now) > s_retention;
        });
    }
    std::erase_if(m_services, [](auto const& item) { return item.second.empty(); });
}

void VersionHistory::note_served(std::string const& service, std::string const& version, Core::MonotonicTime now)
{
    m_services[service][version].last_listed = now;
}

RecentVersions VersionHistory::recent(
    std::string const& service, Core::Milliseconds period, Core::MonotonicTime now) const
{
    RecentVersions recent;
    recent.is_complete = m_first_list && Core::elapsed(*m_first_list, now) >= period;
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return recent;
    for (auto const& [version, listing] : found->second) {
        if (listing.is_listed || Core::elapsed(listing.last_listed, now) <= period)
            recent.versions.insert(version);
    }
    return recent;
}

}
