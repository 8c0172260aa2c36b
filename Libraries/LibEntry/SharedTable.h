#pragma once

#include <LibTable/Table.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

namespace GraniteField::Entry {

/// Source of a table.
enum class TableSource : std::uint8_t {
    StoreList,
    StoreWatch,
    /// A whole table from a peer, or only the edits since an earlier version.
    PeerWhole,
    PeerEdits,
};

/// Name of the source in the log and in metrics.
[[nodiscard]] constexpr std::string_view to_string(TableSource source)
{
    switch (source) {
    case TableSource::StoreList:
        return "list";
    case TableSource::StoreWatch:
        return "watch";
    case TableSource::PeerWhole:
        return "peer-whole";
    case TableSource::PeerEdits:
        break;
    }
    return "peer-edits";
}

/// The table in force in this process. Readers on any thread keep the table that they obtained. It is never replaced by
/// an older one.
class SharedTable {
public:
    /// The table in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<Table::Table const> current() const
    {
        std::lock_guard const lock(m_mutex);
        return m_table;
    }

    /// Source of the table in force; meaningless before the first table.
    [[nodiscard]] TableSource source() const
    {
        std::lock_guard const lock(m_mutex);
        return m_source;
    }

    /// Puts the table in force if it is newer than the current one. Returns whether it was.
    bool offer(Table::Table table, TableSource source = TableSource::StoreList)
    {
        std::lock_guard const lock(m_mutex);
        if (m_table && table.version() <= m_table->version())
            return false;
        m_table = std::make_shared<Table::Table const>(std::move(table));
        m_source = source;
        return true;
    }

    /// Notes that a version exists that this process cannot read; one that states no version follows the one in force.
    void note_unreadable(std::optional<Core::TableVersion> version)
    {
        std::lock_guard const lock(m_mutex);
        auto const in_force = m_table ? m_table->version() : Core::TableVersion();
        m_unreadable_version = std::max(m_unreadable_version, version.value_or(in_force.next()));
    }

    /// Whether a version newer than the one in force exists that this process cannot read.
    [[nodiscard]] bool is_outdated() const
    {
        std::lock_guard const lock(m_mutex);
        return m_table && m_table->version() < m_unreadable_version;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<Table::Table const> m_table;
    TableSource m_source {TableSource::StoreList};
    Core::TableVersion m_unreadable_version;
};

}
