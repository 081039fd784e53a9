#include "control/row_set.h"

#include <utility>

namespace shallotwick::control {

RowSet::RowSet(std::vector<storage::Row> rows) {
  for (storage::Row& row : rows) {
    std::string key = row.key;
    m_rows.emplace(std::move(key), std::move(row));
  }
}

uint64_t RowSet::GetGeneration(const std::string& key) const {
  const auto found = m_rows.find(key);
  return found == m_rows.end() ? storage::kAbsent : found->second.generation;
}

std::map<std::string, uint64_t> RowSet::GetGenerations() const {
  std::map<std::string, uint64_t> generations;
  for (const auto& [key, row] : m_rows) {
    generations[key] = row.generation;
  }
  return generations;
}

}  // namespace shallotwick::control
