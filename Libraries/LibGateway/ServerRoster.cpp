#include <LibGateway/ServerRoster.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace GraniteField::Gateway {

void ServerRoster::apply_list(
    std::vector<Entry::ServerEntry> servers, Entry::ListRevision revision, Core::MonotonicTime now)
{
    std::set<std::string> listed;
    for (auto& server : servers) {
        listed.insert(server.instance);
        apply_entry(std::move(server));
    }
    std::vector<std::string> missing;
    for (auto const& [instance, entry] : m_entries) {
        if (!listed.contains(instance))
            missing.push_back(instance);
    }
    for (auto const& instance : missing)
        apply_removal(instance, now);
    set_revision(revision);
}

void ServerRoster::set_revision(Entry::ListRevision revision)
{
    m_revision = revision;
    find_expired_services();
}

void ServerRoster::find_expired_services()
{
    struct Count {
        std::size_t missing {0};
        std::size_t all {0};
    };
    std::map<std::string_view, Count> counts;
    for (auto const& [instance, entry] : m_entries) {
        auto& count = counts[entry.server.service];
        count.missing += entry.is_missing ? 1 : 0;
        ++count.all;
    }
    // Servers that are back must not shorten the wait for the others.
    for (auto const& [service, count] : counts) {
        if (2 * count.missing > count.all)
            m_expired_services.emplace(service);
    }
}

bool ServerRoster::is_listed(KnownServer const& known) const
{
    return !known.is_missing || m_expired_services.contains(known.server.service);
}

void ServerRoster::adopt(Entry::ServerList const& list)
{
    if (list.revision <= m_revision || list.is_provisional)
        return;
    m_entries.clear();
    for (auto const& server : list.servers)
        apply_entry(server);
    m_revision = list.revision;
}

void ServerRoster::apply_entry(Entry::ServerEntry server)
{
    auto const instance = server.instance;
    auto const known = m_entries.find(instance);
    // A late entry of an earlier run says nothing about the current one.
    if (known != m_entries.end() && server.is_of_earlier_life_than(known->second.server))
        return;
    m_entries.insert_or_assign(instance, KnownServer {std::move(server), false});
}

void ServerRoster::apply_removal(std::string const& instance, Core::MonotonicTime now)
{
    auto const found = m_entries.find(instance);
    if (found == m_entries.end())
        return;
    // A server that was leaving is removed at once.
    bool const is_leaving = found->second.server.state == Table::BackendServerState::Leaving;
    if (is_settling(now) && !is_leaving)
        found->second.is_missing = true;
    else
        m_entries.erase(found);
}

void ServerRoster::note_store_available(Core::MonotonicTime now)
{
    if (!m_is_store_lost)
        return;
    m_is_store_lost = false;
    m_settles_at = now + s_settling_time;
}

bool ServerRoster::settle(Core::MonotonicTime now)
{
    if (!m_settles_at || is_settling(now))
        return false;
    m_settles_at.reset();
    m_expired_services.clear();
    return std::erase_if(m_entries, [](auto const& item) { return item.second.is_missing; }) > 0;
}

std::optional<Core::MonotonicTime> ServerRoster::settles_at() const
{
    return m_settles_at;
}

std::size_t ServerRoster::missing_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_entries, [this](auto const& item) { return item.second.is_missing && is_listed(item.second); }));
}

Entry::ServerList ServerRoster::list() const
{
    Entry::ServerList list;
    list.revision = m_revision;
    for (auto const& [instance, entry] : m_entries) {
        if (!is_listed(entry))
            continue;
        list.servers.push_back(entry.server);
        list.is_provisional = list.is_provisional || entry.is_missing;
    }
    return list;
}

}
