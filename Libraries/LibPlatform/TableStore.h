#pragma once

#include <LibPlatform/ObjectClient.h>
#include <LibTable/Table.h>
#include <LibTable/TablePages.h>

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace GraniteField::Platform {

/// Somebody else changed a cell that this change touches.
class EditConflict : public std::runtime_error {
public:
    struct Cell {
        Table::CellPlace place;
        std::string expected;
        std::string found;
        std::string wanted;
    };

    explicit EditConflict(std::vector<Cell>);

    [[nodiscard]] std::vector<Cell> const& cells() const { return m_cells; }

private:
    std::vector<Cell> m_cells;
};

/// The write was sent and no answer came, and the platform can't be asked either.
class EffectUnknown : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The table as it lies in the platform's object API. docs/design/table-storage.md gives the reasons.
class TableStore {
public:
    explicit TableStore(ObjectClient& client)
        : m_client(client)
    {
    }

    /// The table now; an empty one of version 0 when none was ever written. Throws PlatformUnavailable,
    /// or Core::InvalidInput when what lies there is no table.
    [[nodiscard]] Table::Table read();

    /// Waits for a version that differs from the one read last; nothing when `wait` is over first.
    /// Throws as read() does.
    [[nodiscard]] std::optional<Table::Table> watch(Core::Milliseconds wait);

    /// Puts the change in force whole, and gives the table that it made. `base` is the table that the
    /// operator saw: a cell that has another value by now is a conflict, all else is merged.
    /// Throws EditConflict, Core::InvalidInput, PlatformUnavailable (not in force) or EffectUnknown.
    Table::Table commit(Table::Table const& base, Table::Change const&, std::string const& author);

    /// What could not be read of the table read last.
    [[nodiscard]] Core::Findings const& unreadable() const { return m_unreadable; }

    /// The changes accepted last, newest first. Throws as read() does.
    [[nodiscard]] std::vector<Table::ChangeRecord> history();

private:
    struct Snapshot {
        /// The store's revision at which this was seen.
        StoreRevision revision;
        std::optional<ObjectVersion> object_version;
        Table::TableHead head;
        Table::Table table;
        Core::Findings unreadable;
    };

    [[nodiscard]] Snapshot read_snapshot();
    [[nodiscard]] Snapshot load(Object const& head_object, StoreRevision);
    [[nodiscard]] Table::Table keep(Snapshot);
    [[nodiscard]] Table::TableHead write_pages(
        Snapshot const&, Table::Table const& changed, std::string const& change_id);
    void create_page(std::string const& name, std::string const& text);
    void write_head(Snapshot const&, Table::TableHead const&);
    [[nodiscard]] bool is_in_force(std::string const& change_id);
    void remove_retired_pages(Table::TableHead const&);

    ObjectClient& m_client;
    StoreRevision m_revision;
    Core::Findings m_unreadable;
    std::map<std::string, std::string> m_page_cache;
};

}
