#include "TextTable.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace foxtailring {

TextTable::TextTable(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void TextTable::addRow(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void TextTable::print(std::ostream &out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
        out << row.back() << '\n';
    }
}

} // namespace foxtailring
