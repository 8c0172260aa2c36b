#include "TableCommands.h"

#include "TextTable.h"

#include <LibCore/Json.h>
#include <LibCore/Text.h>
#include <LibHTTP/HttpClient.h>
#include <LibPlatform/TableStore.h>
#include <LibTable/Csv.h>
#include <LibTable/TablePages.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

namespace GraniteField::CommandLine {

using Json = nlohmann::json;
using Table::Change;
using Table::SheetName;

namespace {

constexpr Core::Milliseconds s_call_timeout {5'000};

Core::Address platform_of(Options const& options)
{
    if (!options.platform)
        throw UsageError("--platform ADDRESS is missing");
    return *options.platform;
}

SheetName sheet_of(std::string const& text)
{
    auto const sheet = Table::sheet_from_string(text);
    if (!sheet)
        throw UsageError(
            Core::concat("'", text, "' is no sheet; there are: classes, workspaces, services, backend-servers"));
    return *sheet;
}

std::string const& word(Options const& options, std::size_t index, std::string_view what)
{
    if (index >= options.words.size())
        throw UsageError(Core::concat(what, " is missing"));
    return options.words[index];
}

std::string read_input(std::string const& path)
{
    if (path.empty() || path == "-")
        return {std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw UsageError("can't read " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

Json sheet_to_json(Table::Table const& table, SheetName sheet)
{
    Json rows = Json::object();
    for (auto const& edit : table.cells_of_sheet(sheet))
        rows[edit.place.row][edit.place.column] = *edit.value;
    return rows;
}

/// The table in force at a gateway.
Table::Table read_from_daemon(Core::Address const& daemon)
{
    HTTP::HttpClient client;
    HTTP::ClientRequest request;
    request.url = Core::concat("http://", daemon.to_string(), "/table");
    auto const response = client.send(request);
    if (response.status != 200)
        throw std::runtime_error(Core::concat(daemon.to_string(), ": status ", response.status, ": ", response.body));
    auto const json = Core::parse_json(response.body);
    auto table = Table::decode_table(json.at("table").get<std::string>());
    table.set_version(Core::TableVersion(json.at("version").get<std::uint64_t>()));
    return table;
}

int show(Options const& options, Table::Table const& table)
{
    std::vector<SheetName> sheets(Table::s_all_sheets.begin(), Table::s_all_sheets.end());
    if (options.words.size() > 2)
        sheets = {sheet_of(options.words[2])};
    if (options.should_print_json) {
        Json json {{"version", table.version().value()}};
        for (auto const sheet : sheets)
            json[std::string(to_string(sheet))] = sheet_to_json(table, sheet);
        std::cout << json.dump(2) << '\n';
        return s_exit_done;
    }
    std::cout << "table version " << table.version().value() << '\n';
    for (auto const sheet : sheets) {
        auto header = Table::Table::column_names(sheet);
        header.insert(header.begin(), "name");
        TextTable text(header);
        for (auto const& row : table.row_names(sheet)) {
            std::vector<std::string> cells {row};
            for (auto const& column : Table::Table::column_names(sheet))
                cells.push_back(table.cell({sheet, row, column}).value_or(""));
            text.add(std::move(cells));
        }
        std::cout << '\n' << to_string(sheet) << '\n' << text.to_string();
    }
    return s_exit_done;
}

int get(Options const& options, Platform::TableStore& store)
{
    Table::CellPlace const place {
        sheet_of(word(options, 2, "SHEET")), word(options, 3, "ROW"), word(options, 4, "COLUMN")};
    auto const value = store.read().cell(place);
    if (!value)
        throw UsageError(Core::concat("there is no cell ", place.to_string()));
    if (options.should_print_json)
        std::cout << Json {{"cell", place.to_string()}, {"value", *value}}.dump() << '\n';
    else
        std::cout << *value << '\n';
    return s_exit_done;
}

int commit(Options const& options, Platform::TableStore& store, Table::Table const& base, Change const& change)
{
    auto const table = store.commit(base, change, options.author);
    if (options.should_print_json)
        std::cout << Json {{"version", table.version().value()}, {"edits", change.size()}}.dump() << '\n';
    else
        std::cout << "in force as table version " << table.version().value() << '\n';
    return s_exit_done;
}

/// Reads `COLUMN=VALUE` words behind the sheet and the row.
Change parse_cells(Options const& options, SheetName sheet, std::string const& row)
{
    Change change;
    for (std::size_t index = 4; index < options.words.size(); ++index) {
        auto const& text = options.words[index];
        auto const equals = text.find('=');
        if (equals == std::string::npos)
            throw UsageError(Core::concat("'", text, "' is not COLUMN=VALUE"));
        change.push_back({{sheet, row, text.substr(0, equals)}, text.substr(equals + 1)});
    }
    if (change.empty())
        throw UsageError("COLUMN=VALUE is missing");
    return change;
}

int set(Options const& options, Platform::TableStore& store)
{
    auto const sheet = sheet_of(word(options, 2, "SHEET"));
    auto const change = parse_cells(options, sheet, word(options, 3, "ROW"));
    return commit(options, store, store.read(), change);
}

/// Puts cells back to what a new row has.
int unset(Options const& options, Platform::TableStore& store)
{
    auto const sheet = sheet_of(word(options, 2, "SHEET"));
    auto const& row = word(options, 3, "ROW");
    auto const table = store.read();
    Change change;
    for (std::size_t index = 4; index < options.words.size(); ++index) {
        auto const value = Table::default_cell(sheet, options.words[index]);
        if (!value)
            throw UsageError(Core::concat("there is no column ", options.words[index]));
        change.push_back({{sheet, row, options.words[index]}, *value});
    }
    if (change.empty())
        throw UsageError("COLUMN is missing");
    if (!table.has_row(sheet, row))
        throw UsageError(Core::concat("there is no row ", row));
    return commit(options, store, table, change);
}

int remove(Options const& options, Platform::TableStore& store)
{
    auto const sheet = sheet_of(word(options, 2, "SHEET"));
    Change const change {{{sheet, word(options, 3, "ROW"), ""}, std::nullopt}};
    return commit(options, store, store.read(), change);
}

int export_sheet(Options const& options, Platform::TableStore& store)
{
    std::cout << write_csv(store.read(), sheet_of(word(options, 2, "SHEET")));
    return s_exit_done;
}

int import_sheet(Options const& options, Platform::TableStore& store)
{
    auto const sheet = sheet_of(word(options, 2, "SHEET"));
    auto const base = store.read();
    auto const change = Table::read_csv(read_input(options.file), base, sheet);
    return commit(options, store, base, change);
}

/// Checks a CSV against the table without changing anything.
int check(Options const& options, Platform::TableStore& store)
{
    auto const sheet = sheet_of(word(options, 2, "SHEET"));
    auto const base = store.read();
    auto const changed = base.with(Table::read_csv(read_input(options.file), base, sheet));
    std::cout << "valid; it would change " << difference(base, changed).size() << " cells\n";
    return s_exit_done;
}

int history(Options const& options, Platform::TableStore& store)
{
    auto const records = store.history();
    Json list = Json::array();
    TextTable text({"version", "time", "author", "cell", "before", "after"});
    for (auto const& record : records) {
        auto const time
            = absl::FormatTime("%Y-%m-%d %H:%M:%S", absl::FromUnixSeconds(record.unix_seconds), absl::UTCTimeZone());
        Json cells = Json::array();
        for (auto const& cell : record.cells) {
            text.add({std::to_string(record.version.value()), time, record.author, cell.place.to_string(), cell.before,
                cell.after});
            cells.push_back({{"cell", cell.place.to_string()}, {"before", cell.before}, {"after", cell.after}});
        }
        if (record.cell_count > record.cells.size())
            text.add({std::to_string(record.version.value()), time, record.author,
                Core::concat("and ", record.cell_count - record.cells.size(), " more"), "", ""});
        list.push_back({{"version", record.version.value()}, {"time", time}, {"author", record.author},
            {"id", record.id}, {"cells", cells}, {"cell-count", record.cell_count}});
    }
    std::cout << (options.should_print_json ? list.dump(2) + "\n" : text.to_string());
    return s_exit_done;
}

}

int run_table_command(Options const& options)
{
    bool const is_at_daemon = !options.platform && !options.daemons.empty();
    if (is_at_daemon && word(options, 1, "show") == "show")
        return show(options, read_from_daemon(options.daemons.front()));
    Platform::ObjectClient client(platform_of(options), s_call_timeout);
    Platform::TableStore store(client);
    auto const& action = word(options, 1, "show, get, set, unset, remove, export, import, history or check");
    if (action == "show")
        return show(options, store.read());
    if (action == "get")
        return get(options, store);
    if (action == "set")
        return set(options, store);
    if (action == "unset")
        return unset(options, store);
    if (action == "remove")
        return remove(options, store);
    if (action == "export")
        return export_sheet(options, store);
    if (action == "import")
        return import_sheet(options, store);
    if (action == "history")
        return history(options, store);
    if (action == "check")
        return check(options, store);
    throw UsageError(Core::concat("'table ", action, "' is no command"));
}

int run_drain_command(Options const& options, std::string const& state)
{
    Platform::ObjectClient client(platform_of(options), s_call_timeout);
    Platform::TableStore store(client);
    auto const base = store.read();
    Change change;
    for (std::size_t index = 1; index < options.words.size(); ++index) {
        auto const& row = options.words[index];
        if (!base.has_row(SheetName::BackendServers, row))
            throw UsageError(Core::concat("there is no backend server ", row));
        change.push_back({{SheetName::BackendServers, row, "state"}, state});
    }
    if (change.empty())
        throw UsageError("BACKEND-SERVER is missing");
    return commit(options, store, base, change);
}

}
