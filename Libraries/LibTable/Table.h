#pragma once

#include <LibCore/Findings.h>
#include <LibCore/Identifiers.h>
#include <LibTable/Column.h>
#include <LibTable/Rows.h>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace GraniteField::Table {

enum class SheetName {
    Classes,
    Workspaces,
    Services,
    BackendServers,
    Routes,
    Limits,
};

inline constexpr std::array s_all_sheets {SheetName::Classes, SheetName::Workspaces, SheetName::Services,
    SheetName::BackendServers, SheetName::Routes, SheetName::Limits};

[[nodiscard]] std::string_view to_string(SheetName);
[[nodiscard]] std::optional<SheetName> sheet_from_string(std::string_view);

/// The place of one cell, written `sheet/row/column`.
struct CellPlace {
    SheetName sheet {SheetName::Classes};
    std::string row;
    std::string column;

    [[nodiscard]] std::string to_string() const;
    auto operator<=>(CellPlace const&) const = default;
};

/// One edit of a change: a cell takes a value, or a whole row goes (no column and no value).
struct Edit {
    CellPlace place;
    std::optional<std::string> value;

    [[nodiscard]] bool is_removal() const { return !value.has_value(); }
};

using Change = std::vector<Edit>;

/// The operators' table: an aggregate with six sheets. It is only ever valid: a change is taken whole
/// or not at all. Tables don't change; a change makes a new one.
class Table {
public:
    template <typename Row>
    using Rows = std::map<std::string, Row, std::less<>>;

    Table() = default;

    /// This table with the change applied and the version that follows.
    /// Throws Core::InvalidInput with all findings when the outcome would not be valid.
    [[nodiscard]] Table with(Change const&) const;

    /// This table with a change that is part of an accepted version. Such a version holds whatever this process makes
    /// of it, so that nothing is rejected: a route or a workspace that can't be read whole is marked as unreadable, and
    /// all other rows apply. Adds what could not be read to the findings.
    [[nodiscard]] Table with_accepted(Change const&, Core::Findings&) const;

    [[nodiscard]] Core::TableVersion version() const { return m_version; }
    void set_version(Core::TableVersion version) { m_version = version; }

    [[nodiscard]] Rows<RequestClass> const& classes() const { return m_classes; }
    [[nodiscard]] Rows<Workspace> const& workspaces() const { return m_workspaces; }
    [[nodiscard]] Rows<Service> const& services() const { return m_services; }
    [[nodiscard]] Rows<BackendServer> const& backend_servers() const { return m_backend_servers; }
    [[nodiscard]] Rows<Route> const& routes() const { return m_routes; }
    [[nodiscard]] Rows<CallerLimits> const& limits() const { return m_limits; }

    [[nodiscard]] RequestClass const* find_class(std::string_view name) const;
    [[nodiscard]] Service const* find_service(std::string_view name) const;
    [[nodiscard]] Service const* find_model(std::string_view model) const;
    /// The route of that host with the longest prefix that begins the path, or null. It may be unreadable.
    [[nodiscard]] Route const* find_route(std::string_view host, std::string_view path) const;
    /// The workspace with a key of this SHA-256, or null. It may be unreadable.
    [[nodiscard]] Workspace const* find_workspace_by_key_hash(KeyHash const&) const;
    /// The same for a hash as text.
    [[nodiscard]] Workspace const* find_workspace_by_key_hash(std::string_view key_hash) const;

    /// Whether there is a route whose host or path could not be read, so that a request without a route may be for it.
    [[nodiscard]] bool has_route_without_place() const { return m_has_route_without_place; }
    /// Whether a workspace is unreadable, so that an unknown key may be one of its keys.
    [[nodiscard]] bool has_unreadable_workspace() const { return m_has_unreadable_workspace; }

    /// The largest number of a tier that a class or a workspace has; 1 in an empty table.
    [[nodiscard]] unsigned lowest_tier_in_use() const { return m_lowest_tier_in_use; }
    /// What holds for all callers.
    [[nodiscard]] CallerLimits caller_limits() const;

    /// The text of a cell; nothing when there is no such row or column.
    [[nodiscard]] std::optional<std::string> cell(CellPlace const&) const;
    [[nodiscard]] bool has_row(SheetName, std::string_view row) const;
    [[nodiscard]] std::vector<std::string> row_names(SheetName) const;
    [[nodiscard]] static std::vector<std::string> column_names(SheetName);

    /// Every cell of the sheet as the edits that would make it anew.
    [[nodiscard]] Change cells_of_sheet(SheetName) const;

    bool operator==(Table const&) const = default;

private:
    void apply(Edit const&, ChangeOrigin, Core::Findings&);
    void check_references(Core::Findings&) const;
    void check_floors(Core::Findings&) const;
    void check_keys(Core::Findings&) const;
    void check_routes(Core::Findings&) const;
    void mark_incomplete_routes(Core::Findings&);
    void index();
    void index_keys();
    void index_routes();
    void index_tiers();
    void index_unreadable();

    /// Where a key stands: the positions of its workspace and of the key in it. Sorted by the beginning of the hash,
    /// which is compact and fast enough for versions with more than a hundred thousand keys.
    struct IndexedKey {
        std::uint64_t hash_prefix {0};
        std::uint32_t workspace {0};
        std::uint32_t position {0};

        auto operator<=>(IndexedKey const&) const = default;
    };

    Core::TableVersion m_version;
    Rows<RequestClass> m_classes;
    Rows<Workspace> m_workspaces;
    Rows<Service> m_services;
    Rows<BackendServer> m_backend_servers;
    Rows<Route> m_routes;
    Rows<CallerLimits> m_limits;
    /// Names of a host's routes, longest prefix first.
    Rows<std::vector<std::string>> m_routes_by_host;
    std::vector<IndexedKey> m_keys;
    std::vector<std::string> m_workspaces_in_order;
    unsigned m_lowest_tier_in_use {s_highest_tier};
    bool m_has_route_without_place {false};
    bool m_has_unreadable_workspace {false};
};

/// What a cell of this column holds in a new row; nothing when there is no such column.
[[nodiscard]] std::optional<std::string> default_cell(SheetName, std::string_view column);

/// The edits that turn one table into the other; cells of new rows that are as in every new row are left out. Rows are
/// compared before any text is made of them, since most are alike.
[[nodiscard]] Change difference(Table const& from, Table const& to);

}
