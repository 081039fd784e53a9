#pragma once

#include <string>
#include <vector>

namespace shallotwick::ctl {

// Columns of text, padded to their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  void AddRow(std::vector<std::string> row);
  std::string Format() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace shallotwick::ctl
