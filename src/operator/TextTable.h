#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Aligned columns of text.
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
