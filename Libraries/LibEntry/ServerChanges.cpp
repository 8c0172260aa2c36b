#include <LibEntry/ServerChanges.h>

#include <LibCore/Hashing.h>
#include <LibCore/Text.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace GraniteField::Entry {

namespace {

std::uint64_t digest_of(ServerEntry const& server)
{
    auto const is_leaving = server.state == Table::BackendServerState::Leaving;
    // No field contains the separator.
    return Core::hash_bytes(Core::concat(server.instance, "\n", server.service, "\n", server.address.to_string(), "\n",
        server.failure_domain, "\n", server.slots, "\n", is_leaving ? 1 : 0, "\n",
        server.born.time_since_epoch().count(), "\n", server.software_version));
}

using ServersByInstance = std::map<std::string_view, ServerEntry const*>;

ServersByInstance index_by_instance(ServerList const& list)
{
    ServersByInstance servers;
    for (auto const& server : list.servers)
        servers.emplace(server.instance, &server);
    return servers;
}

}

std::uint64_t digest_of(ServerList const& list)
{
    std::uint64_t digest = 0;
    for (auto const& server : list.servers)
        digest ^= digest_of(server);
    return digest;
}

ServerChanges difference(ServerList const& from, ServerList const& to)
{
    ServerChanges changes;
    changes.from = from.revision;
    changes.to = to.revision;
    changes.digest = digest_of(to);
    auto before = index_by_instance(from);
    for (auto const& server : to.servers) {
        auto const found = before.find(server.instance);
        if (found == before.end()) {
            changes.changed.push_back(server);
            continue;
        }
        if (*found->second != server)
            changes.changed.push_back(server);
        before.erase(found);
    }
    for (auto const& [instance, server] : before)
        changes.removed.emplace_back(instance);
    return changes;
}

std::optional<ServerList> apply_changes(ServerChanges const& changes, std::shared_ptr<ServerList const> const& current)
{
    bool const is_whole = changes.from == ListRevision();
    if (!is_whole && (!current || current->revision != changes.from))
        return std::nullopt;
    std::set<std::string_view> replaced(changes.removed.begin(), changes.removed.end());
    for (auto const& server : changes.changed)
        replaced.insert(server.instance);
    ServerList list;
    list.revision = changes.to;
    list.servers = changes.changed;
    if (!is_whole) {
        for (auto const& server : current->servers) {
            if (!replaced.contains(server.instance))
                list.servers.push_back(server);
        }
    }
    std::ranges::sort(list.servers, {}, &ServerEntry::instance);
    if (digest_of(list) != changes.digest)
        return std::nullopt;
    return list;
}

void ServerHistory::note(std::shared_ptr<ServerList const> list)
{
    if (m_current == list)
        return;
    if (m_current && m_current->revision < list->revision)
        add_step(difference(*m_current, *list));
    else
        m_steps.clear();
    m_current = std::move(list);
}

void ServerHistory::note_step(std::shared_ptr<ServerList const> list, ServerChanges changes)
{
    bool const is_successor
        = m_current != nullptr && m_current->revision == changes.from && list->revision == changes.to;
    if (!is_successor)
        return note(std::move(list));
    add_step(std::move(changes));
    m_current = std::move(list);
}

void ServerHistory::add_step(ServerChanges changes)
{
    m_steps.push_back(std::move(changes));
    if (m_steps.size() > s_max_steps)
        m_steps.pop_front();
}

std::optional<ServerChanges> ServerHistory::changes_since(ListRevision revision) const
{
    auto step = std::ranges::find(m_steps, revision, &ServerChanges::from);
    if (step == m_steps.end())
        return std::nullopt;
    // The latest change of each server counts.
    std::map<std::string, ServerEntry const*> latest;
    for (; step != m_steps.end(); ++step) {
        for (auto const& server : step->changed)
            latest[server.instance] = &server;
        for (auto const& instance : step->removed)
            latest[instance] = nullptr;
    }
    ServerChanges changes;
    changes.from = revision;
    changes.to = m_steps.back().to;
    changes.digest = m_steps.back().digest;
    for (auto const& [instance, server] : latest) {
        if (server != nullptr)
            changes.changed.push_back(*server);
        else
            changes.removed.push_back(instance);
    }
    return changes;
}

}
