#include "text_table.h"

#include <algorithm>
#include <utility>

namespace shallotwick::ctl {

TextTable::TextTable(std::vector<std::string> header) {
  m_rows.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> row) {
  m_rows.push_back(std::move(row));
}

std::string TextTable::Format() const {
  constexpr size_t kGap = 2;
  std::vector<size_t> widths;
  for (const auto& row : m_rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const auto& row : m_rows) {
    std::string line;
    for (size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line.append(widths[column] + kGap - row[column].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace shallotwick::ctl
