#pragma once

#include <LibTable/Table.h>

#include <memory>
#include <mutex>
#include <utility>

namespace GraniteField::Entry {

/// The table in force in this process. Readers on any thread keep the one that they took; an older table
/// never takes the place of a newer one.
class SharedTable {
public:
    /// The table in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<Table::Table const> current() const
    {
        std::lock_guard const lock(m_mutex);
        return m_table;
    }

    /// Puts the table in force if it is newer than the present one, and says whether it was.
    bool offer(Table::Table table)
    {
        std::lock_guard const lock(m_mutex);
        if (m_table && table.version() <= m_table->version())
            return false;
        m_table = std::make_shared<Table::Table const>(std::move(table));
        return true;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<Table::Table const> m_table;
};

}
