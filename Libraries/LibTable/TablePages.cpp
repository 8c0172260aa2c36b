#include <LibTable/TablePages.h>

#include <LibCore/Hashing.h>
#include <LibCore/Json.h>
#include <LibCore/Text.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace GraniteField::Table {

using Json = nlohmann::json;

namespace {

constexpr std::size_t s_page_count = s_all_sheets.size() * s_pages_of_a_sheet;

[[noreturn]] void reject(std::string place, std::string message)
{
    Core::Findings findings;
    findings.add(std::move(place), std::move(message));
    throw Core::InvalidInput(findings);
}

Json parse(std::string_view text, std::string const& place)
{
    try {
        return Core::parse_json(text);
    } catch (Core::JsonError const& error) {
        reject(place, error.what());
    }
}

Json to_json(ChangeRecord const& record)
{
    Json cells = Json::array();
    for (auto const& cell : record.cells)
        cells.push_back({{"cell", cell.place.to_string()}, {"before", cell.before}, {"after", cell.after}});
    return {{"id", record.id}, {"version", record.version.value()}, {"author", record.author},
        {"time", record.unix_seconds}, {"cells", cells}, {"cell-count", record.cell_count}};
}

CellPlace parse_place(std::string const& text)
{
    auto const first = text.find('/');
    if (first == std::string::npos)
        reject(text, "is not the place of a cell");
    auto const sheet = sheet_from_string(std::string_view(text).substr(0, first));
    if (!sheet)
        reject(text, "names no sheet");
    auto const second = text.find('/', first + 1);
    if (second == std::string::npos)
        return {*sheet, text.substr(first + 1), ""};
    return {*sheet, text.substr(first + 1, second - first - 1), text.substr(second + 1)};
}

ChangeRecord record_from_json(Json const& json)
{
    ChangeRecord record;
    record.id = json.at("id").get<std::string>();
    record.version = Core::TableVersion(json.at("version").get<std::uint64_t>());
    record.author = json.at("author").get<std::string>();
    record.unix_seconds = json.at("time").get<std::int64_t>();
    record.cell_count = json.at("cell-count").get<std::size_t>();
    for (auto const& cell : json.at("cells")) {
        record.cells.push_back({parse_place(cell.at("cell").get<std::string>()), cell.at("before").get<std::string>(),
            cell.at("after").get<std::string>()});
    }
    return record;
}

TableHead head_from_json(Json const& json)
{
    TableHead head;
    head.version = Core::TableVersion(json.at("version").get<std::uint64_t>());
    head.pages = json.at("pages").get<std::vector<std::string>>();
    if (head.pages.size() != s_page_count)
        reject("/pages", Core::concat("holds ", head.pages.size(), " names in place of ", s_page_count));
    for (auto const& record : json.at("recent-changes"))
        head.recent_changes.push_back(record_from_json(record));
    for (auto const& page : json.at("retired-pages"))
        head.retired_pages.push_back(
            {page.at("name").get<std::string>(), Core::TableVersion(page.at("version").get<std::uint64_t>())});
    return head;
}

void decode_row(SheetName sheet, std::string const& row, Json const& cells, Change& change, Core::Findings& findings)
{
    if (!cells.is_object()) {
        findings.add(CellPlace {sheet, row, ""}.to_string(), "is not an object of cells");
        return;
    }
    for (auto const& [column, value] : cells.items()) {
        CellPlace const place {sheet, row, column};
        if (!value.is_string())
            findings.add(place.to_string(), "is not a string");
        else
            change.push_back({place, value.get<std::string>()});
    }
}

}

bool TableHead::has_change(std::string_view id) const
{
    return std::ranges::any_of(recent_changes, [id](auto const& record) { return record.id == id; });
}

std::size_t page_number(SheetName sheet, std::string_view row)
{
    auto const sheet_index = static_cast<std::size_t>(sheet);
    return sheet_index * s_pages_of_a_sheet + Core::hash_bytes(row) % s_pages_of_a_sheet;
}

std::string encode_head(TableHead const& head)
{
    Json changes = Json::array();
    for (auto const& record : head.recent_changes)
        changes.push_back(to_json(record));
    Json retired = Json::array();
    for (auto const& page : head.retired_pages)
        retired.push_back({{"name", page.name}, {"version", page.version.value()}});
    return Json {{"version", head.version.value()}, {"pages", head.pages}, {"recent-changes", changes},
        {"retired-pages", retired}}
        .dump();
}

TableHead decode_head(std::string_view text)
{
    auto const json = parse(text, "table head");
    try {
        return head_from_json(json);
    } catch (Json::exception const& error) {
        reject("table head", error.what());
    }
}

std::string encode_page(Table const& table, std::size_t page)
{
    auto const sheet = s_all_sheets.at(page / s_pages_of_a_sheet);
    Json rows = Json::object();
    for (auto const& edit : table.cells_of_sheet(sheet)) {
        if (page_number(sheet, edit.place.row) == page)
            rows[edit.place.row][edit.place.column] = *edit.value;
    }
    if (rows.empty())
        return "";
    return Json {{"sheet", to_string(sheet)}, {"rows", rows}}.dump();
}

void decode_page(std::string_view text, std::string const& name, Change& change, Core::Findings& findings)
{
    if (text.empty())
        return;
    Json json;
    try {
        json = Core::parse_json(text);
    } catch (Core::JsonError const& error) {
        findings.add(name, error.what());
        return;
    }
    bool const is_page = json.is_object() && json.contains("sheet") && json["sheet"].is_string()
        && json.contains("rows") && json["rows"].is_object();
    if (!is_page) {
        findings.add(name, "is not a page with a sheet and rows");
        return;
    }
    auto const sheet = sheet_from_string(json["sheet"].get<std::string>());
    if (!sheet) {
        findings.add(name + "/sheet", "names no sheet");
        return;
    }
    for (auto const& [row, cells] : json["rows"].items())
        decode_row(*sheet, row, cells, change, findings);
}

Table assemble_table(Core::TableVersion version, std::vector<std::string> const& page_texts, Core::Findings& unreadable)
{
    Change change;
    Core::Findings findings;
    for (std::size_t page = 0; page < page_texts.size(); ++page)
        decode_page(page_texts[page], Core::concat("page ", page), change, findings);
    if (!findings.is_empty())
        throw Core::InvalidInput(findings);
    auto table = Table().with_accepted(change, unreadable);
    table.set_version(version);
    return table;
}

std::string encode_table(Table const& table)
{
    Json pages = Json::array();
    for (std::size_t page = 0; page < s_page_count; ++page)
        pages.push_back(encode_page(table, page));
    return Json {{"version", table.version().value()}, {"pages", pages}}.dump();
}

Table decode_table(std::string_view text)
{
    auto const json = parse(text, "table");
    try {
        auto const version = Core::TableVersion(json.at("version").get<std::uint64_t>());
        Core::Findings unreadable;
        auto table = assemble_table(version, json.at("pages").get<std::vector<std::string>>(), unreadable);
        if (!unreadable.is_empty())
            throw Core::InvalidInput(unreadable);
        return table;
    } catch (Json::exception const& error) {
        reject("table", error.what());
    }
}

}
