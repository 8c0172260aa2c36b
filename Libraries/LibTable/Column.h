#pragma once

#include <LibTable/Rows.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace GraniteField::Table {

/// One column of a sheet: how its cell is written as text and read back.
template <typename Row>
struct Column {
    std::string_view name;
    std::string_view help;
    std::function<std::string(Row const&)> read;
    /// Changes the row, or leaves it as it is and says what is wrong with the text.
    std::function<std::optional<std::string>(Row&, std::string_view)> write;
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
