#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace shallotwick::standin {

// The rows of the platform's store, in the form in which it speaks of them.
class RowTable {
 public:
  // Applies a transaction as a whole; returns the status and the body.
  std::pair<int, nlohmann::json> Commit(const nlohmann::json& transaction);
  nlohmann::json Read(const std::string& table, const std::string& part,
                      const std::string& from, const std::string& until,
                      size_t limit) const;
  // Changes of a table after a version, in order.
  nlohmann::json ListChanges(const std::string& table, uint64_t after) const;

  // Writes as the operator or an executor does; `value` is plain text.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // The plain value, or an empty text.
  std::string Get(const std::string& table, const std::string& part,
                  const std::string& key) const;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    // Base64, as it was written.
    std::string value;
    uint64_t version = 0;
    bool is_removed = false;
  };

  static nlohmann::json Format(const Key& key, const Row& row);
  void Set(const Key& key, Row row);

  std::map<Key, Row> m_rows;
  // The rows of each table by the versions of their last changes.
  std::map<std::string, std::set<std::pair<uint64_t, Key>>> m_changes;
  uint64_t m_version = 1;
};

}  // namespace shallotwick::standin
