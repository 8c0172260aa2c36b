#pragma once

#include <LibTable/Table.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace GraniteField::Entry {

/// The latest edits of the table, so that a peer that is a few versions behind receives only these.
class TableHistory {
public:
    static constexpr std::size_t s_max_steps = 64;
    /// Bytes of text in all steps. Peers that are further behind receive the whole table.
    static constexpr std::size_t s_max_bytes = 2U << 20U;

    /// Records the table in force.
    void note(std::shared_ptr<Table::Table const> table)
    {
        if (m_current == table)
            return;
        if (m_current)
            add_step(Table::difference(*m_current, *table));
        m_current = std::move(table);
    }

    /// Records a table that was received as edits to version `from`. Avoids computing the difference again at each
    /// gateway that forwards the update.
    void note_step(std::shared_ptr<Table::Table const> table, Core::TableVersion from, Table::Change edits)
    {
        if (m_current == nullptr || m_current->version() != from)
            return note(std::move(table));
        add_step(std::move(edits));
        m_current = std::move(table);
    }

    /// Returns the edits from that version to the current table; nothing if the version is not in the history.
    [[nodiscard]] std::optional<Table::Change> edits_since(Core::TableVersion version) const
    {
        auto step = m_steps.begin();
        while (step != m_steps.end() && step->from != version)
            ++step;
        if (step == m_steps.end())
            return std::nullopt;
        Table::Change change;
        for (; step != m_steps.end(); ++step)
            change.insert(change.end(), step->edits.begin(), step->edits.end());
        return change;
    }

    [[nodiscard]] std::shared_ptr<Table::Table const> const& current() const { return m_current; }

private:
    struct Step {
        Core::TableVersion from;
        Table::Change edits;
        std::size_t bytes {0};
    };

    [[nodiscard]] static std::size_t bytes_of(Table::Change const& edits)
    {
        std::size_t bytes = edits.size() * sizeof(Table::Edit);
        for (auto const& edit : edits)
            bytes += edit.place.row.size() + edit.place.column.size() + (edit.value ? edit.value->size() : 0);
        return bytes;
    }

    void add_step(Table::Change edits)
    {
        auto const bytes = bytes_of(edits);
        m_steps.push_back({m_current->version(), std::move(edits), bytes});
        m_bytes += bytes;
        while (m_steps.size() > s_max_steps || m_bytes > s_max_bytes) {
            m_bytes -= m_steps.front().bytes;
            m_steps.pop_front();
        }
    }

    std::shared_ptr<Table::Table const> m_current;
    std::deque<Step> m_steps;
    std::size_t m_bytes {0};
};

}
