#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace GraniteField::CommandLine {

/// Rows of text in aligned columns, for a terminal.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header) { add(std::move(header)); }

    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

    [[nodiscard]] std::string to_string() const
    {
        std::vector<std::size_t> widths(m_rows.front().size());
        for (auto const& row : m_rows) {
            for (std::size_t column = 0; column < row.size(); ++column)
                widths[column] = std::max(widths[column], row[column].size());
        }
        std::string text;
        for (auto const& row : m_rows) {
            std::string line;
            for (std::size_t column = 0; column < row.size(); ++column) {
                line += row[column];
                if (column + 1 < row.size())
                    line += std::string(widths[column] - row[column].size() + s_gap, ' ');
            }
            text += line + "\n";
        }
        return text;
    }

private:
    static constexpr std::size_t s_gap = 2;

    std::vector<std::vector<std::string>> m_rows;
};

}
