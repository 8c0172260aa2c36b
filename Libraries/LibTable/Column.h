#pragma once

#include <LibTable/Rows.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace GraniteField::Table {

/// Where a change comes from.
enum class ChangeOrigin {
    /// An operator's edit. It can still be rejected, so the limits that guard against mistyped cells apply.
    Operator,
    /// A version that was accepted elsewhere and holds for all. Rejecting it here would keep an older version in force,
    /// so a cell is rejected only where its text has no meaning.
    AcceptedVersion,
};

/// One column of a sheet: how its cell is written as text and read back.
template <typename Row>
struct Column {
    std::string_view name;
    std::string_view help;
    std::function<std::string(Row const&)> read;
    /// Changes the row, or leaves it as it is and returns what is wrong with the text.
    std::function<std::optional<std::string>(Row&, std::string_view, ChangeOrigin)> write;
    /// Whether both rows have the same text here. Set where texts may be large; they are compared elsewhere.
    std::function<bool(Row const&, Row const&)> has_same_text {};
};

/// The columns of each sheet, in the order in which they are shown. The row's name is not among them.
template <typename Row>
[[nodiscard]] std::span<Column<Row> const> columns();

template <>
std::span<Column<RequestClass> const> columns<RequestClass>();
template <>
std::span<Column<Workspace> const> columns<Workspace>();
template <>
std::span<Column<Service> const> columns<Service>();
template <>
std::span<Column<BackendServer> const> columns<BackendServer>();
template <>
std::span<Column<Route> const> columns<Route>();
template <>
std::span<Column<CallerLimits> const> columns<CallerLimits>();

/// Names as the text of a cell. They may hold any characters.
[[nodiscard]] std::string join_names(std::vector<std::string> const&);
/// The services of a route with their weights as the text of a cell.
[[nodiscard]] std::string join_targets(std::vector<RouteTarget> const&);

/// The column of that name, or null.
template <typename Row>
[[nodiscard]] Column<Row> const* find_column(std::string_view name)
{
    for (auto const& column : columns<Row>()) {
        if (column.name == name)
            return &column;
    }
    return nullptr;
}

}
