#include <LibGateway/LoadSources.h>

namespace GraniteField::Gateway {

bool LoadSources::take(
    std::uint64_t source_id, std::uint64_t sequence, Extent extent, LoadsByServer const& loads, Core::MonotonicTime now)
{
    auto& source = m_sources[source_id];
    if (sequence <= source.sequence)
        return false;
    source.sequence = sequence;
    source.heard = now;
    if (extent == Extent::Whole)
        withdraw(source);
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
    entry.server->remove_others(entry.load);
    entry.server->add_others(load);
    entry.load = load;
    entry.heard = source.heard;
    if (load == ServerLoad())
        source.entries.erase(found);
}

void LoadSources::withdraw(Source& source)
{
    for (auto const& [server, entry] : source.entries)
        entry.server->remove_others(entry.load);
    source.entries.clear();
}

void LoadSources::forget(std::uint64_t source_id)
{
    auto const found = m_sources.find(source_id);
    if (found == m_sources.end())
        return;
    withdraw(found->second);
    m_sources.erase(found);
}

void LoadSources::forget_silent(
    Core::MonotonicTime now, Core::Milliseconds source_memory, Core::Milliseconds entry_memory)
{
    for (auto item = m_sources.begin(); item != m_sources.end();) {
        auto& source = item->second;
        if (Core::elapsed(source.heard, now) > source_memory) {
            withdraw(source);
            item = m_sources.erase(item);
            continue;
        }
        absl::erase_if(source.entries, [&](auto const& named) {
            auto const& entry = named.second;
            if (Core::elapsed(entry.heard, now) <= entry_memory)
                return false;
            entry.server->remove_others(entry.load);
            return true;
        });
        ++item;
    }
}

}
