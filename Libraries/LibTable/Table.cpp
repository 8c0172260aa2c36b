#include <LibTable/Table.h>

#include <LibCore/Text.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <absl/strings/ascii.h>

namespace GraniteField::Table {

namespace {

constexpr std::array<std::pair<SheetName, std::string_view>, 6> s_sheet_texts {{
    {SheetName::Classes, "classes"},
    {SheetName::Workspaces, "workspaces"},
    {SheetName::Services, "services"},
    {SheetName::BackendServers, "backend-servers"},
    {SheetName::Routes, "routes"},
    {SheetName::Limits, "limits"},
}};

constexpr std::size_t s_longest_row_name = 64;
/// What all floors together may take, so that the highest tier always keeps half of the slots.
constexpr unsigned s_largest_floor_sum_percent = 50;

bool is_row_name(std::string_view name)
{
    if (name.empty() || name.size() > s_longest_row_name)
        return false;
    for (char const character : name) {
        bool const is_allowed = absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-'
            || character == '_' || character == '.';
        if (!is_allowed)
            return false;
    }
    return true;
}

constexpr std::string_view s_no_class = "class: there is no such class";
constexpr std::string_view s_no_target = "services: is missing";

/// Notes in a row of an accepted version, if its sheet has such rows, whether the cell could be read.
template <typename Row>
void note_cell(Row& row, std::string_view column, std::optional<std::string> const& problem)
{
    if constexpr (requires { row.unreadable; }) {
        auto const place = Core::concat(column, ": ");
        if (problem && row.unreadable.empty())
            row.unreadable = place + *problem;
        // A later version may hold a readable text in place of an unreadable one.
        if (!problem && row.unreadable.starts_with(place))
            row.unreadable.clear();
    }
}

template <typename Row>
void apply_to_sheet(Table::Rows<Row>& rows, Edit const& edit, ChangeOrigin origin, Core::Findings& findings)
{
    if (edit.is_removal()) {
        if (rows.erase(edit.place.row) == 0)
            findings.add(edit.place.to_string(), "there is no such row");
        return;
    }
    if (origin == ChangeOrigin::Operator && !is_row_name(edit.place.row)) {
        findings.add(
            edit.place.to_string(), "the row's name must be 1 to 64 letters, digits, dots, dashes or underscores");
        return;
    }
    auto const* column = find_column<Row>(edit.place.column);
    if (column == nullptr) {
        findings.add(edit.place.to_string(), "there is no such column");
        return;
    }
    auto& row = rows[edit.place.row];
    row.name = edit.place.row;
    auto const problem = column->write(row, *edit.value, origin);
    if (problem)
        findings.add(edit.place.to_string(), *problem);
    if (origin == ChangeOrigin::AcceptedVersion)
        note_cell(row, edit.place.column, problem);
}

template <typename Row>
std::optional<std::string> read_cell(Table::Rows<Row> const& rows, CellPlace const& place)
{
    auto const row = rows.find(place.row);
    auto const* column = find_column<Row>(place.column);
    if (row == rows.end() || column == nullptr)
        return std::nullopt;
    return column->read(row->second);
}

/// Calls the visitor with the rows of the named sheet.
template <typename TableType, typename Visitor>
auto visit_sheet(TableType& table, SheetName sheet, Visitor visitor)
{
    switch (sheet) {
    case SheetName::Classes:
        return visitor(table.classes());
    case SheetName::Workspaces:
        return visitor(table.workspaces());
    case SheetName::Services:
        return visitor(table.services());
    case SheetName::BackendServers:
        return visitor(table.backend_servers());
    case SheetName::Routes:
        return visitor(table.routes());
    case SheetName::Limits:
        break;
    }
    return visitor(table.limits());
}

template <typename Rows>
using RowOf = typename std::remove_cvref_t<Rows>::mapped_type;

}

std::string_view to_string(SheetName sheet)
{
    for (auto const& [name, text] : s_sheet_texts) {
        if (name == sheet)
            return text;
    }
    return "";
}

std::optional<SheetName> sheet_from_string(std::string_view wanted)
{
    for (auto const& [name, text] : s_sheet_texts) {
        if (text == wanted)
            return name;
    }
    return std::nullopt;
}

std::string CellPlace::to_string() const
{
    auto text = Core::concat(GraniteField::Table::to_string(sheet), "/", row);
    if (!column.empty())
        Core::append(&text, "/", column);
    return text;
}

Table Table::with(Change const& change) const
{
    Table changed = *this;
    Core::Findings findings;
    for (auto const& edit : change)
        changed.apply(edit, ChangeOrigin::Operator, findings);
    changed.check_references(findings);
    changed.check_floors(findings);
    changed.check_keys(findings);
    changed.check_routes(findings);
    if (!findings.is_empty())
        throw Core::InvalidInput(findings);
    changed.index();
    changed.m_version = m_version.next();
    return changed;
}

Table Table::with_accepted(Change const& change, Core::Findings& findings) const
{
    Table changed = *this;
    for (auto const& edit : change)
        changed.apply(edit, ChangeOrigin::AcceptedVersion, findings);
    changed.mark_incomplete_routes(findings);
    changed.index();
    changed.m_version = m_version.next();
    return changed;
}

void Table::mark_incomplete_routes(Core::Findings& findings)
{
    for (auto& [name, route] : m_routes) {
        // What an earlier version lacked may be there now.
        auto const before = route.unreadable;
        if (before == s_no_class || before == s_no_target)
            route.unreadable.clear();
        if (!route.unreadable.empty())
            continue;
        if (!m_classes.contains(route.request_class))
            route.unreadable = s_no_class;
        else if (route.targets.empty())
            route.unreadable = s_no_target;
        if (!route.unreadable.empty() && route.unreadable != before)
            findings.add(CellPlace {SheetName::Routes, name, ""}.to_string(), route.unreadable);
    }
}

void Table::index()
{
    index_keys();
    index_routes();
    index_tiers();
    index_unreadable();
}

void Table::apply(Edit const& edit, ChangeOrigin origin, Core::Findings& findings)
{
    switch (edit.place.sheet) {
    case SheetName::Classes:
        return apply_to_sheet(m_classes, edit, origin, findings);
    case SheetName::Workspaces:
        return apply_to_sheet(m_workspaces, edit, origin, findings);
    case SheetName::Services:
        return apply_to_sheet(m_services, edit, origin, findings);
    case SheetName::BackendServers:
        return apply_to_sheet(m_backend_servers, edit, origin, findings);
    case SheetName::Routes:
        return apply_to_sheet(m_routes, edit, origin, findings);
    case SheetName::Limits:
        return apply_to_sheet(m_limits, edit, origin, findings);
    }
}

void Table::check_references(Core::Findings& findings) const
{
    for (auto const& [name, server] : m_backend_servers) {
        auto const place = CellPlace {SheetName::BackendServers, name, "service"}.to_string();
        if (!m_services.contains(server.service))
            findings.add(place, Core::concat("there is no service '", server.service, "'"));
        if (server.side_address.empty())
            findings.add(CellPlace {SheetName::BackendServers, name, "side"}.to_string(), "is missing");
    }
    Rows<std::string> service_by_model;
    for (auto const& [name, service] : m_services) {
        auto const place = CellPlace {SheetName::Services, name, "model"}.to_string();
        if (service.kind == ServiceKind::Plain && !service.model.empty())
            findings.add(place, "a plain service has no model");
        if (service.kind != ServiceKind::Model)
            continue;
        if (service.model.empty())
            findings.add(place, "is missing for a service of kind model");
        auto const [other, is_new] = service_by_model.emplace(service.model, name);
        if (!is_new)
            findings.add(place, Core::concat("the service '", other->second, "' has the same model"));
    }
}

void Table::check_floors(Core::Findings& findings) const
{
    unsigned sum = 0;
    for (auto const& [name, request_class] : m_classes)
        sum += request_class.floor_percent;
    if (sum > s_largest_floor_sum_percent)
        findings.add("classes/*/floor",
            Core::concat("all floors together are ", sum, " percent; ", s_largest_floor_sum_percent, " at most"));
}

void Table::check_keys(Core::Findings& findings) const
{
    std::map<KeyHash, std::string> workspace_by_hash;
    for (auto const& [name, workspace] : m_workspaces) {
        auto const place = CellPlace {SheetName::Workspaces, name, "key-hash"}.to_string();
        if (workspace.key_hashes.empty()) {
            findings.add(place, "is missing");
            continue;
        }
        for (auto const& hash : workspace.key_hashes) {
            auto const [other, is_new] = workspace_by_hash.emplace(hash, name);
            if (!is_new)
                findings.add(place, Core::concat("the workspace '", other->second, "' has the same key"));
        }
    }
}

void Table::check_routes(Core::Findings& findings) const
{
    std::set<std::pair<std::string, std::string>> places;
    for (auto const& [name, route] : m_routes) {
        auto const place_of = [&row = name](std::string const& column) {
            return CellPlace {SheetName::Routes, row, column}.to_string();
        };
        if (!m_classes.contains(route.request_class))
            findings.add(place_of("class"), Core::concat("there is no class '", route.request_class, "'"));
        if (route.targets.empty())
            findings.add(place_of("services"), "is missing");
        for (auto const& target : route.targets) {
            if (!m_services.contains(target.service))
                findings.add(place_of("services"), Core::concat("there is no service '", target.service, "'"));
        }
        if (!places.emplace(route.host, route.path_prefix).second)
            findings.add(place_of("path-prefix"), "another route has the same host and prefix");
    }
}

void Table::index_keys()
{
    m_workspaces_in_order.clear();
    std::size_t count = 0;
    for (auto const& [name, workspace] : m_workspaces)
        count += workspace.key_hashes.size();
    m_keys.clear();
    m_keys.reserve(count);
    for (auto const& [name, workspace] : m_workspaces) {
        auto const row = static_cast<std::uint32_t>(m_workspaces_in_order.size());
        m_workspaces_in_order.push_back(name);
        std::uint32_t position = 0;
        for (auto const& hash : workspace.key_hashes)
            m_keys.push_back({prefix_of(hash), row, position++});
    }
    std::ranges::sort(m_keys);
}

void Table::index_routes()
{
    m_routes_by_host.clear();
    for (auto const& [name, route] : m_routes)
        m_routes_by_host[route.host].push_back(name);
    auto const is_longer = [this](std::string const& left, std::string const& right) {
        return m_routes.find(left)->second.path_prefix.size() > m_routes.find(right)->second.path_prefix.size();
    };
    for (auto& [host, names] : m_routes_by_host)
        std::ranges::stable_sort(names, is_longer);
}

void Table::index_tiers()
{
    m_lowest_tier_in_use = s_highest_tier;
    for (auto const& [name, request_class] : m_classes)
        m_lowest_tier_in_use = std::max(m_lowest_tier_in_use, request_class.tier);
    for (auto const& [name, workspace] : m_workspaces)
        m_lowest_tier_in_use = std::max(m_lowest_tier_in_use, workspace.tier);
}

void Table::index_unreadable()
{
    m_has_route_without_place = std::ranges::any_of(m_routes, [](auto const& item) {
        auto const& route = item.second;
        return !route.unreadable.empty() && (route.host.empty() || route.path_prefix.empty());
    });
    m_has_unreadable_workspace
        = std::ranges::any_of(m_workspaces, [](auto const& item) { return !item.second.unreadable.empty(); });
}

Route const* Table::find_route(std::string_view host, std::string_view path) const
{
    auto const found = m_routes_by_host.find(host);
    if (found == m_routes_by_host.end())
        return nullptr;
    for (auto const& name : found->second) {
        auto const& route = m_routes.find(name)->second;
        if (path.starts_with(route.path_prefix))
            return &route;
    }
    return nullptr;
}

RequestClass const* Table::find_class(std::string_view name) const
{
    auto const found = m_classes.find(name);
    return found == m_classes.end() ? nullptr : &found->second;
}

Service const* Table::find_service(std::string_view name) const
{
    auto const found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

Service const* Table::find_model(std::string_view model) const
{
    for (auto const& [name, service] : m_services) {
        if (service.kind == ServiceKind::Model && service.model == model)
            return &service;
    }
    return nullptr;
}

Workspace const* Table::find_workspace_by_key_hash(KeyHash const& key_hash) const
{
    auto const prefix = prefix_of(key_hash);
    auto key = std::ranges::lower_bound(m_keys, prefix, {}, &IndexedKey::hash_prefix);
    for (; key != m_keys.end() && key->hash_prefix == prefix; ++key) {
        auto const& workspace = m_workspaces.find(m_workspaces_in_order[key->workspace])->second;
        if (workspace.key_hashes[key->position] == key_hash)
            return &workspace;
    }
    return nullptr;
}

Workspace const* Table::find_workspace_by_key_hash(std::string_view key_hash) const
{
    auto const hash = parse_key_hash(key_hash);
    return hash ? find_workspace_by_key_hash(*hash) : nullptr;
}

CallerLimits Table::caller_limits() const
{
    auto const found = m_limits.find(s_callers_row);
    return found == m_limits.end() ? CallerLimits {} : found->second;
}

std::optional<std::string> Table::cell(CellPlace const& place) const
{
    return visit_sheet(*this, place.sheet, [&](auto const& rows) { return read_cell(rows, place); });
}

bool Table::has_row(SheetName sheet, std::string_view row) const
{
    return visit_sheet(*this, sheet, [&](auto const& rows) { return rows.contains(row); });
}

std::vector<std::string> Table::row_names(SheetName sheet) const
{
    return visit_sheet(*this, sheet, [](auto const& rows) {
        std::vector<std::string> names;
        for (auto const& [name, row] : rows)
            names.push_back(name);
        return names;
    });
}

std::vector<std::string> Table::column_names(SheetName sheet)
{
    static Table const s_empty;
    return visit_sheet(s_empty, sheet, [](auto const& rows) {
        std::vector<std::string> names;
        for (auto const& column : columns<RowOf<decltype(rows)>>())
            names.emplace_back(column.name);
        return names;
    });
}

Change Table::cells_of_sheet(SheetName sheet) const
{
    return visit_sheet(*this, sheet, [sheet](auto const& rows) {
        Change change;
        for (auto const& [name, row] : rows) {
            for (auto const& column : columns<RowOf<decltype(rows)>>())
                change.push_back({{sheet, name, std::string(column.name)}, column.read(row)});
        }
        return change;
    });
}

std::optional<std::string> default_cell(SheetName sheet, std::string_view column_name)
{
    static Table const s_empty;
    return visit_sheet(s_empty, sheet, [column_name](auto const& rows) -> std::optional<std::string> {
        using Row = RowOf<decltype(rows)>;
        auto const* column = find_column<Row>(column_name);
        if (column == nullptr)
            return std::nullopt;
        return column->read(Row {});
    });
}

namespace {

/// The cells of a row that are not as in the row before, or as in a new one where there was none.
template <typename Row>
void add_row(Change& change, SheetName sheet, Row const* before, Row const& after)
{
    static Row const s_new {};
    auto const& base = before == nullptr ? s_new : *before;
    // One cell at least makes a new row.
    bool is_needed = before == nullptr;
    for (auto const& column : columns<Row>()) {
        bool const is_same
            = column.has_same_text ? column.has_same_text(base, after) : column.read(base) == column.read(after);
        if (!std::exchange(is_needed, false) && is_same)
            continue;
        change.push_back({{sheet, after.name, std::string(column.name)}, column.read(after)});
    }
}

template <typename Row>
void add_difference(Change& change, SheetName sheet, Table::Rows<Row> const& from, Table::Rows<Row> const& to)
{
    for (auto const& [name, row] : from) {
        if (!to.contains(name))
            change.push_back({{sheet, name, ""}, std::nullopt});
    }
    for (auto const& [name, row] : to) {
        auto const before = from.find(name);
        if (before == from.end())
            add_row<Row>(change, sheet, nullptr, row);
        else if (before->second != row)
            add_row(change, sheet, &before->second, row);
    }
}

}

Change difference(Table const& from, Table const& to)
{
    Change change;
    add_difference(change, SheetName::Classes, from.classes(), to.classes());
    add_difference(change, SheetName::Workspaces, from.workspaces(), to.workspaces());
    add_difference(change, SheetName::Services, from.services(), to.services());
    add_difference(change, SheetName::BackendServers, from.backend_servers(), to.backend_servers());
    add_difference(change, SheetName::Routes, from.routes(), to.routes());
    add_difference(change, SheetName::Limits, from.limits(), to.limits());
    return change;
}

}
