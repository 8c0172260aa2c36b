#include <LibGateway/LoadSources.h>

namespace GraniteField::Gateway {

bool LoadSources::apply(std::uint64_t source_id, std::uint64_t sequence, ReportKind kind, LoadsByServer const& loads,
    Core::MonotonicTime now)
{
    auto& source = m_sources[source_id];
    if (sequence <= source.sequence)
        return false;
    source.sequence = sequence;
    source.received_at = now;
    if (kind == ReportKind::Full)
        remove_loads(source);
    for (auto const& [server, load] : loads)
        set(source, server, load);
    return true;
}

void LoadSources::set(Source& source, std::uint64_t server, ServerLoad const& load)
{
    auto found = source.entries.find(server);
    if (found == source.entries.end()) {
        auto view = m_fleet.find(server);
        // One that the list does not hold yet is told of again with the next whole word.
        if (view == nullptr || load == ServerLoad())
            return;
        found = source.entries.emplace(server, Entry {std::move(view), {}, {}}).first;
    }
    auto& entry = found->second;
    entry.server->remove_peer_load(entry.load);
    entry.server->add_peer_load(load);
    entry.load = load;
    entry.received_at = source.received_at;
    if (load == ServerLoad())
        source.entries.erase(found);
}

void LoadSources::remove_loads(Source& source)
{
    for (auto const& [server, entry] : source.entries)
        entry.server->remove_peer_load(entry.load);
    source.entries.clear();
}

void LoadSources::remove(std::uint64_t source_id)
{
    auto const found = m_sources.find(source_id);
    if (found == m_sources.end())
        return;
    remove_loads(found->second);
    m_sources.erase(found);
}

void LoadSources::remove_silent(
    Core::MonotonicTime now, Core::Milliseconds source_expiry, Core::Milliseconds entry_expiry)
{
    for (auto item = m_sources.begin(); item != m_sources.end();) {
        auto& source = item->second;
        if (Core::elapsed(source.received_at, now) > source_expiry) {
            remove_loads(source);
            item = m_sources.erase(item);
            continue;
        }
        absl::erase_if(source.entries, [&](auto const& named) {
            auto const& entry = named.second;
            if (Core::elapsed(entry.received_at, now) <= entry_expiry)
                return false;
            entry.server->remove_peer_load(entry.load);
            return true;
        });
        ++item;
    }
}

}
