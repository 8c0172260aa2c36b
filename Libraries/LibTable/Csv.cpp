#include <LibTable/Csv.h>

#include <LibCore/Text.h>

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include <absl/strings/str_replace.h>

namespace GraniteField::Table {

namespace {

using Record = std::vector<std::string>;

constexpr std::string_view s_name_column = "name";

std::string quote(std::string const& field)
{
    if (field.find_first_of(",\"\r\n") == std::string::npos)
        return field;
    return Core::concat("\"", absl::StrReplaceAll(field, {{"\"", "\"\""}}), "\"");
}

void write_record(std::string& text, Record const& record)
{
    bool is_first = true;
    for (auto const& field : record) {
        if (!is_first)
            text += ',';
        is_first = false;
        text += quote(field);
    }
    text += "\r\n";
}

/// Splits CSV text into records by RFC 4180, section 2.
class CsvReader {
public:
    CsvReader(std::string_view text, Core::Findings& findings)
        : m_text(text)
        , m_findings(findings)
    {
    }

    std::optional<Record> next_record()
    {
        if (m_position >= m_text.size())
            return std::nullopt;
        ++m_line;
        Record record;
        while (true) {
            record.push_back(read_field());
            if (m_position >= m_text.size())
                return record;
            char const separator = m_text[m_position++];
            if (separator == ',')
                continue;
            if (separator == '\r' && m_position < m_text.size() && m_text[m_position] == '\n')
                ++m_position;
            return record;
        }
    }

    [[nodiscard]] std::size_t line() const { return m_line; }

private:
    std::string read_field()
    {
        if (m_position < m_text.size() && m_text[m_position] == '"')
            return read_quoted_field();
        auto const end = std::min(m_text.find_first_of(",\r\n", m_position), m_text.size());
        std::string field(m_text.substr(m_position, end - m_position));
        m_position = end;
        return field;
    }

    std::string read_quoted_field()
    {
        std::string field;
        ++m_position;
        while (m_position < m_text.size()) {
            char const character = m_text[m_position++];
            if (character != '"') {
                field += character;
                continue;
            }
            if (m_position >= m_text.size() || m_text[m_position] != '"')
                return finish_quoted_field(std::move(field));
            field += '"';
            ++m_position;
        }
        m_findings.add(Core::concat("line ", m_line), "a quoted field has no end");
        return field;
    }

    std::string finish_quoted_field(std::string field)
    {
        auto const end = std::min(m_text.find_first_of(",\r\n", m_position), m_text.size());
        if (end != m_position)
            m_findings.add(Core::concat("line ", m_line), "text follows a quoted field");
        m_position = end;
        return field;
    }

    std::string_view m_text;
    Core::Findings& m_findings;
    std::size_t m_position {0};
    std::size_t m_line {0};
};

void check_header(Record const& header, SheetName sheet, Core::Findings& findings)
{
    if (header.empty() || header.front() != s_name_column)
        findings.add("line 1", "the first column must be 'name'");
    auto const known = Table::column_names(sheet);
    std::set<std::string> seen;
    for (std::size_t index = 1; index < header.size(); ++index) {
        auto const place = Core::concat("line 1, column ", index + 1);
        if (std::ranges::find(known, header[index]) == known.end())
            findings.add(place, Core::concat("the sheet has no column '", header[index], "'"));
        if (!seen.insert(header[index]).second)
            findings.add(place, Core::concat("the column '", header[index], "' stands twice"));
    }
}

void read_row(Record const& record, Record const& header, std::size_t line, SheetName sheet, Change& change,
    Core::Findings& findings)
{
    if (record.size() != header.size()) {
        findings.add(
            Core::concat("line ", line), Core::concat("has ", record.size(), " fields in place of ", header.size()));
        return;
    }
    for (std::size_t index = 1; index < record.size(); ++index)
        change.push_back({{sheet, record.front(), header[index]}, record[index]});
}

}

std::string write_csv(Table const& table, SheetName sheet)
{
    std::string text;
    Record header {std::string(s_name_column)};
    auto const names = Table::column_names(sheet);
    header.insert(header.end(), names.begin(), names.end());
    write_record(text, header);
    for (auto const& row : table.row_names(sheet)) {
        Record record {row};
        for (auto const& column : names)
            record.push_back(table.cell({sheet, row, column}).value_or(""));
        write_record(text, record);
    }
    return text;
}

Change read_csv(std::string_view text, Table const& current, SheetName sheet)
{
    Core::Findings findings;
    CsvReader reader(text, findings);
    auto const header = reader.next_record().value_or(Record {});
    check_header(header, sheet, findings);

    Change change;
    std::set<std::string> rows;
    while (auto const record = reader.next_record()) {
        if (!rows.insert(record->front()).second)
            findings.add(
                Core::concat("line ", reader.line()), Core::concat("the row '", record->front(), "' stands twice"));
        read_row(*record, header, reader.line(), sheet, change, findings);
    }
    if (!findings.is_empty())
        throw Core::InvalidInput(findings);
    for (auto const& row : current.row_names(sheet)) {
        if (!rows.contains(row))
            change.push_back({{sheet, row, ""}, std::nullopt});
    }
    return change;
}

}
