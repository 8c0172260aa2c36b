#pragma once

#include <LibTable/Table.h>

#include <string>
#include <string_view>

namespace GraniteField::Table {

/// Writes a sheet as CSV (RFC 4180): a header line `name,column,...`, then a line for each row.
[[nodiscard]] std::string write_csv(Table const&, SheetName);

/// The change that makes the sheet equal to the CSV: cells set, and rows removed that the CSV lacks.
/// Columns that the CSV lacks stay as they are. Throws Core::InvalidInput; places give line and column.
[[nodiscard]] Change read_csv(std::string_view text, Table const& current, SheetName);

}
