#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Text table with aligned columns. Rows are padded or cut to the length of the header.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);
    void addRow(std::vector<std::string> row);
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace foxtailring
