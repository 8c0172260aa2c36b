#pragma once

#include <LibCore/Identifiers.h>
#include <LibTable/Table.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace GraniteField::Table {

/// Pages that a sheet is split into by the hash of the row's name. With 16 pages, 6,700 workspaces make
/// pages of about 60 KB, so that a value stays far below the platform's limit of 1 MB.
inline constexpr std::size_t s_pages_of_a_sheet = 16;

/// One cell that a change touched, as the history shows it.
struct CellChange {
    CellPlace place;
    std::string before;
    std::string after;

    bool operator==(CellChange const&) const = default;
};

/// A change that was accepted.
struct ChangeRecord {
    /// Random; tells a writer whose answer was lost whether the change took effect.
    std::string id;
    Core::TableVersion version;
    std::string author;
    /// Seconds since 1970, for people only.
    std::int64_t unix_seconds {0};
    /// The first cells of the change; at most s_recorded_cells.
    std::vector<CellChange> cells;
    std::size_t cell_count {0};

    bool operator==(ChangeRecord const&) const = default;
};

inline constexpr std::size_t s_recorded_cells = 20;
inline constexpr std::size_t s_recorded_changes = 64;

/// A page that no head names any more, and the version that dropped it.
struct RetiredPage {
    std::string name;
    Core::TableVersion version;

    bool operator==(RetiredPage const&) const = default;
};

/// The one object that makes a version of the table: the names of its pages. Pages never change; a
/// conditional update of the head puts a change in force whole.
struct TableHead {
    Core::TableVersion version;
    /// Names of pages, s_pages_of_a_sheet for each sheet in the order of s_all_sheets. An empty name
    /// stands for a page without rows.
    std::vector<std::string> pages;
    std::vector<ChangeRecord> recent_changes;
    std::vector<RetiredPage> retired_pages;

    [[nodiscard]] bool has_change(std::string_view id) const;
};

/// The number of the page that holds a row.
[[nodiscard]] std::size_t page_number(SheetName, std::string_view row);

[[nodiscard]] std::string encode_head(TableHead const&);
/// Throws Core::InvalidInput when the text is no head.
[[nodiscard]] TableHead decode_head(std::string_view);

/// The rows of one page as JSON; an empty text for a page without rows.
[[nodiscard]] std::string encode_page(Table const&, std::size_t page);
/// Adds the page's cells to the change, and what is wrong with the page to the findings.
void decode_page(std::string_view text, std::string const& name, Change&, Core::Findings&);

/// All pages of the table in one text, for one process to hand to another.
[[nodiscard]] std::string encode_table(Table const&);
/// Throws Core::InvalidInput with all findings.
[[nodiscard]] Table decode_table(std::string_view);

/// A table of this version from the texts of all its pages. The version is accepted, so rows that can't be read add
/// findings and are marked in the table. Throws Core::InvalidInput where a text is no page.
[[nodiscard]] Table assemble_table(
    Core::TableVersion, std::vector<std::string> const& page_texts, Core::Findings& unreadable);

}
