#include "standin-cluster/row_table.h"

#include <restinio/utils/base64.hpp>
#include <utility>

namespace shallotwick::standin {
namespace {

using nlohmann::json;

std::tuple<std::string, std::string, std::string> ReadKey(const json& entry) {
  return {entry.at("table").get<std::string>(), entry.value("part", ""),
          entry.at("key").get<std::string>()};
}

bool ExceedsLimits(const json& transaction) {
  constexpr size_t kMaxEntries = 100;
  constexpr size_t kMaxValueBytes = 65'536;
  constexpr size_t kMaxCallBytes = 1'000'000;
  size_t entries = 0;
  size_t bytes = 0;
  for (const char* kind : {"expectedRev", "writes", "remove"}) {
    for (const json& entry : transaction.value(kind, json::array())) {
      ++entries;
      const size_t value = entry.value("value", "").size();
      if (value > (kMaxValueBytes + 2) / 3 * 4) {
        return true;
      }
      bytes += value;
    }
  }
  return entries > kMaxEntries || bytes > kMaxCallBytes;
}

}  // namespace

json RowTable::Format(const Key& key, const Row& row) {
  json object = {{"table", std::get<0>(key)},
                 {"part", std::get<1>(key)},
                 {"key", std::get<2>(key)},
                 {"ver", row.version}};
  if (row.is_removed) {
    object["tombstone"] = true;
  } else {
    object["value"] = row.value;
  }
  return object;
}

void RowTable::Set(const Key& key, Row row) {
  auto& changes = m_changes[std::get<0>(key)];
  const auto [entry, is_new] = m_rows.try_emplace(key);
  if (!is_new) {
    changes.erase({entry->second.version, key});
  }
  changes.emplace(row.version, key);
  entry->second = std::move(row);
}

std::pair<int, json> RowTable::Commit(const json& transaction) {
  if (ExceedsLimits(transaction)) {
    return {400, {{"title", "The transaction is too large."}}};
  }
  json current = json::array();
  bool holds = true;
  for (const json& entry : transaction.value("expectedRev", json::array())) {
    const auto found = m_rows.find(ReadKey(entry));
    const bool exists = found != m_rows.end() && !found->second.is_removed;
    if (exists) {
      current.push_back(Format(found->first, found->second));
    }
    holds = holds && entry.at("ver").get<uint64_t>() ==
                         (exists ? found->second.version : 0);
  }
  if (!holds) {
    return {412, {{"rows", current}, {"ver", m_version}, {"nowMs", 1}}};
  }
  ++m_version;
  for (const json& entry : transaction.value("writes", json::array())) {
    Set(ReadKey(entry),
        Row{entry.at("value").get<std::string>(), m_version, false});
  }
  for (const json& entry : transaction.value("remove", json::array())) {
    Set(ReadKey(entry), Row{"", m_version, true});
  }
  return {200, {{"ver", m_version}, {"nowMs", 1}}};
}

json RowTable::Read(const std::string& table, const std::string& part,
                    const std::string& from, const std::string& until,
                    size_t limit) const {
  json rows = json::array();
  bool is_truncated = false;
  for (auto row = m_rows.lower_bound({table, part, from}); row != m_rows.end();
       ++row) {
    const auto& [row_table, row_part, key] = row->first;
    if (row_table != table || row_part != part ||
        (!until.empty() && key >= until)) {
      break;
    }
    if (row->second.is_removed) {
      continue;
    }
    if (rows.size() == limit) {
      is_truncated = true;
      break;
    }
    rows.push_back(Format(row->first, row->second));
  }
  return {{"rows", rows},
          {"truncated", is_truncated},
          {"ver", m_version},
          {"nowMs", 1}};
}

json RowTable::ListChanges(const std::string& table, uint64_t after) const {
  json rows = json::array();
  const auto changes = m_changes.find(table);
  if (changes != m_changes.end()) {
    for (auto change = changes->second.lower_bound({after + 1, Key()});
         change != changes->second.end(); ++change) {
      const Key& key = change->second;
      rows.push_back(Format(key, m_rows.at(key)));
    }
  }
  return {{"rows", rows}, {"ver", m_version}, {"nowMs", 1}};
}

void RowTable::Put(const std::string& table, const std::string& key,
                   const std::string& value) {
  ++m_version;
  Set({table, "", key},
      Row{restinio::utils::base64::encode(value), m_version, false});
}

void RowTable::Remove(const std::string& table, const std::string& key) {
  ++m_version;
  Set({table, "", key}, Row{"", m_version, true});
}

std::string RowTable::Get(const std::string& table, const std::string& part,
                          const std::string& key) const {
  const auto found = m_rows.find({table, part, key});
  if (found == m_rows.end() || found->second.is_removed) {
    return "";
  }
  return restinio::utils::base64::decode(found->second.value);
}

}  // namespace shallotwick::standin
