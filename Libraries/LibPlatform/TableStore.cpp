#include <LibPlatform/TableStore.h>

#include <LibCore/Identifiers.h>
#include <LibCore/Text.h>

#include <algorithm>
#include <set>

#include <absl/time/clock.h>

namespace GraniteField::Platform {

namespace {

/// The head has a kind of its own, so that a list and a watch of it bring no pages.
constexpr std::string_view s_head_kind = "granitefield-table";
constexpr std::string_view s_head_name = "head";
constexpr std::string_view s_page_kind = "granitefield-table-pages";

/// Rounds of reading, merging and writing before a change is given up as contended.
constexpr int s_commit_rounds = 20;
/// Tries to find out whether a write without an answer took effect.
constexpr int s_verification_rounds = 5;
/// Tries to write a page whose answer is lost; a page without a head is in nobody's way.
constexpr int s_page_tries = 3;
/// Versions that a page outlives the last head that named it, so that a slow reader still finds it.
constexpr std::uint64_t s_retired_page_versions = 16;

/// The text that an object holds.
std::string text_of(Object const& object)
{
    if (!object.spec.is_string())
        throw PlatformUnavailable(Core::concat("the object ", object.name, " holds no text"));
    return object.spec.get<std::string>();
}

std::string describe(std::vector<EditConflict::Cell> const& cells)
{
    std::string text;
    for (auto const& cell : cells) {
        Core::append(&text, text.empty() ? "" : "\n", cell.place.to_string(), ": you saw '", cell.expected,
            "' and set '", cell.wanted, "', but it is '", cell.found, "' now");
    }
    return text;
}

/// The cells of an edit: itself, or all cells of a row that goes.
std::vector<Table::CellPlace> touched_cells(Table::Edit const& edit)
{
    if (!edit.is_removal())
        return {edit.place};
    std::vector<Table::CellPlace> places;
    for (auto const& column : Table::Table::column_names(edit.place.sheet))
        places.push_back({edit.place.sheet, edit.place.row, column});
    return places;
}

void check_conflicts(Table::Table const& base, Table::Table const& current, Table::Change const& change)
{
    if (base.version() == current.version())
        return;
    std::vector<EditConflict::Cell> conflicts;
    for (auto const& edit : change) {
        for (auto const& place : touched_cells(edit)) {
            auto const expected = base.cell(place);
            auto const found = current.cell(place);
            if (expected != found && found != edit.value)
                conflicts.push_back({place, expected.value_or("(no row)"), found.value_or("(no row)"),
                    edit.value.value_or("(remove)")});
        }
    }
    if (!conflicts.empty())
        throw EditConflict(conflicts);
}

Table::ChangeRecord record_change(
    Table::Table const& before, Table::Table const& after, std::string const& id, std::string const& author)
{
    Table::ChangeRecord record;
    record.id = id;
    record.version = after.version();
    record.author = author;
    record.unix_seconds = absl::ToUnixSeconds(absl::Now());
    auto const edits = Table::difference(before, after);
    record.cell_count = edits.size();
    for (auto const& edit : edits) {
        if (record.cells.size() == Table::s_recorded_cells)
            break;
        record.cells.push_back({edit.place, before.cell(edit.place).value_or(""), edit.value.value_or("")});
    }
    return record;
}

}

EditConflict::EditConflict(std::vector<Cell> cells)
    : std::runtime_error(describe(cells))
    , m_cells(std::move(cells))
{
}

TableStore::Snapshot TableStore::read_snapshot()
{
    auto const listing = m_client.list(s_head_kind);
    for (auto const& object : listing.objects) {
        if (object.name == s_head_name)
            return load(object, listing.revision);
    }
    Snapshot empty;
    empty.revision = listing.revision;
    empty.head.pages.resize(Table::s_all_sheets.size() * Table::s_pages_of_a_sheet);
    return empty;
}

TableStore::Snapshot TableStore::load(Object const& head_object, StoreRevision revision)
{
    Snapshot snapshot;
    snapshot.revision = revision;
    snapshot.object_version = head_object.version;
    snapshot.head = Table::decode_head(text_of(head_object));
    std::vector<std::string> texts;
    std::map<std::string, std::string> pages;
    for (auto const& name : snapshot.head.pages) {
        if (name.empty()) {
            texts.emplace_back();
            continue;
        }
        auto const cached = m_page_cache.find(name);
        if (cached != m_page_cache.end()) {
            texts.push_back(cached->second);
        } else {
            auto page = m_client.read(s_page_kind, name);
            if (!page)
                throw PlatformUnavailable(Core::concat("the table page ", name, " is gone; the head has moved on"));
            texts.push_back(text_of(*page));
        }
        pages[name] = texts.back();
    }
    snapshot.table = Table::assemble_table(snapshot.head.version, texts, snapshot.unreadable);
    m_page_cache = std::move(pages);
    return snapshot;
}

Table::Table TableStore::read()
{
    auto snapshot = read_snapshot();
    m_revision = snapshot.revision;
    return keep(std::move(snapshot));
}

Table::Table TableStore::keep(Snapshot snapshot)
{
    m_unreadable = std::move(snapshot.unreadable);
    return std::move(snapshot.table);
}

std::optional<Table::Table> TableStore::watch(Core::Milliseconds wait)
{
    try {
        auto const answer = m_client.watch(s_head_kind, m_revision, wait);
        m_revision = std::max(m_revision, answer.revision);
        auto const newest = std::ranges::find_if(answer.events.rbegin(), answer.events.rend(),
            [](auto const& event) { return event.kind == EventKind::Changed && event.object.name == s_head_name; });
        if (newest == answer.events.rend())
            return std::nullopt;
        return keep(load(newest->object, m_revision));
    } catch (HistoryGone const&) {
        return read();
    }
}

Table::TableHead TableStore::write_pages(
    Snapshot const& snapshot, Table::Table const& changed, std::string const& change_id)
{
    auto head = snapshot.head;
    head.version = changed.version();
    std::set<std::size_t> touched;
    for (auto const& edit : Table::difference(snapshot.table, changed))
        touched.insert(Table::page_number(edit.place.sheet, edit.place.row));
    for (auto const page : touched) {
        auto const text = Table::encode_page(changed, page);
        // The version in the name keeps a page of this round apart from one of a round that lost the race.
        auto const name
            = text.empty() ? std::string() : Core::concat(change_id, "-", changed.version().value(), "-", page);
        if (!head.pages[page].empty())
            head.retired_pages.push_back({head.pages[page], changed.version()});
        head.pages[page] = name;
        if (name.empty())
            continue;
        create_page(name, text);
    }
    return head;
}

void TableStore::create_page(std::string const& name, std::string const& text)
{
    for (int tries = 1;; ++tries) {
        try {
            m_client.create(s_page_kind, name, text);
            return;
        } catch (VersionConflict const&) {
            // Only this change writes pages under this name, so the page is the one of an earlier try whose answer
            // was lost.
            return;
        } catch (PlatformUnavailable const&) {
            if (tries == s_page_tries)
                throw;
        }
    }
}

void TableStore::write_head(Snapshot const& snapshot, Table::TableHead const& head)
{
    auto const text = Table::encode_head(head);
    if (snapshot.object_version)
        m_client.update(s_head_kind, s_head_name, *snapshot.object_version, text);
    else
        m_client.create(s_head_kind, s_head_name, text);
}

bool TableStore::is_in_force(std::string const& change_id)
{
    for (int round = 0; round < s_verification_rounds; ++round) {
        try {
            return read_snapshot().head.has_change(change_id);
        } catch (PlatformUnavailable const&) {
            continue;
        }
    }
    throw EffectUnknown(Core::concat("no answer came to the write of change ", change_id,
        ", and the platform can't be asked; 'granitefield table history' shows later whether it is in force"));
}

void TableStore::remove_retired_pages(Table::TableHead const& head)
{
    for (auto const& page : head.retired_pages) {
        if (page.version.value() + s_retired_page_versions <= head.version.value())
            m_client.remove(s_page_kind, page.name);
    }
}

Table::Table TableStore::commit(Table::Table const& base, Table::Change const& change, std::string const& author)
{
    auto const change_id = Core::to_hex(Core::draw_incarnation().value());
    for (int round = 0; round < s_commit_rounds; ++round) {
        auto const snapshot = read_snapshot();
        if (snapshot.head.has_change(change_id))
            return snapshot.table;
        // Writing the pages anew would lose what could not be read of them.
        if (!snapshot.unreadable.is_empty())
            throw Core::InvalidInput(snapshot.unreadable);
        check_conflicts(base, snapshot.table, change);
        auto changed = snapshot.table.with(change);
        if (Table::difference(snapshot.table, changed).empty())
            return snapshot.table;
        auto head = write_pages(snapshot, changed, change_id);
        head.recent_changes.insert(
            head.recent_changes.begin(), record_change(snapshot.table, changed, change_id, author));
        if (head.recent_changes.size() > Table::s_recorded_changes)
            head.recent_changes.resize(Table::s_recorded_changes);
        auto const full_head = head;
        std::erase_if(head.retired_pages,
            [&](auto const& page) { return page.version.value() + s_retired_page_versions <= head.version.value(); });
        try {
            write_head(snapshot, head);
        } catch (VersionConflict const&) {
            continue;
        } catch (PlatformUnavailable const&) {
            if (!is_in_force(change_id))
                continue;
        }
        try {
            remove_retired_pages(full_head);
        } catch (PlatformUnavailable const&) {
            // NOTE: The change is in force. A page that stays behind costs the platform a few kilobytes.
        }
        return changed;
    }
    throw PlatformUnavailable("the table was changed by others at every try; nothing of this change is in force");
}

std::vector<Table::ChangeRecord> TableStore::history()
{
    return read_snapshot().head.recent_changes;
}

}
