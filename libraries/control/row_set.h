#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/log_catalogue.h"
#include "storage/table_service.h"

namespace shallotwick::control {

// The rows returned by one read, by key.
class RowSet {
 public:
  explicit RowSet(std::vector<storage::Row> rows);

  // Returns the generation of a row, or kAbsent if the row does not exist.
  uint64_t GetGeneration(const std::string& key) const;
  std::map<std::string, uint64_t> GetGenerations() const;

  // Parses the record in a row. Returns std::nullopt if the row does not exist,
  // or if it is malformed, which is logged.
  template <typename Record>
  std::optional<Record> Find(const std::string& key) const {
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
      return std::nullopt;
    }
    return Parse<Record>(found->second);
  }

  // Returns the records of all rows whose key begins with `prefix`, by the
  // remainder of the key. Malformed rows are logged and omitted.
  template <typename Record>
  std::map<std::string, Record> FindAll(const std::string& prefix) const {
    std::map<std::string, Record> records;
    for (auto row = m_rows.lower_bound(prefix);
         row != m_rows.end() &&
         row->first.compare(0, prefix.size(), prefix) == 0;
         ++row) {
      if (auto record = Parse<Record>(row->second)) {
        records.emplace(row->first.substr(prefix.size()), std::move(*record));
      }
    }
    return records;
  }

 private:
  template <typename Record>
  static std::optional<Record> Parse(const storage::Row& row) {
    try {
      return nlohmann::json::parse(row.value).get<Record>();
    } catch (const nlohmann::json::exception& error) {
      base::Log(base::events::kStoreContentInvalid,
                {{"key", row.key}, {"error", error.what()}});
      return std::nullopt;
    }
  }

  std::map<std::string, storage::Row> m_rows;
};

}  // namespace shallotwick::control
