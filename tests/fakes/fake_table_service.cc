#include "fakes/fake_table_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace shallotwick::fakes {

std::vector<storage::Row> FakeTableService::Read(
    const storage::ReadRequest& request) {
  const TableFault fault = ChooseFault(false);
  if (fault != TableFault::kNone) {
    throw storage::Unavailable("the fake table service does not answer");
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_reads;
  std::map<std::string, storage::Row> found;
  for (const std::string& key : request.keys) {
    const auto row = m_rows.find(key);
    if (row != m_rows.end()) {
      found.insert(*row);
    }
  }
  for (const std::string& prefix : request.prefixes) {
    for (auto row = m_rows.lower_bound(prefix);
         row != m_rows.end() &&
         row->first.compare(0, prefix.size(), prefix) == 0;
         ++row) {
      found.insert(*row);
    }
  }
  std::vector<storage::Row> rows;
  rows.reserve(found.size());
  for (auto& [key, row] : found) {
    rows.push_back(std::move(row));
  }
  return rows;
}

storage::CommitResult FakeTableService::Commit(
    const storage::Transaction& transaction) {
  std::function<void()> before_commit;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    before_commit = m_before_commit;
  }
  if (before_commit) {
    before_commit();
  }
  const TableFault fault = ChooseFault(true);
  if (fault == TableFault::kDown) {
    throw storage::Unavailable("the fake table service does not answer");
  }
  storage::CommitResult result;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_commits;
    for (const storage::Condition& condition : transaction.conditions) {
      if (!Holds(condition)) {
        result.status = storage::CommitStatus::kConflict;
        result.conflicting_keys.push_back(condition.key);
      }
    }
    if (result.status == storage::CommitStatus::kCommitted) {
      result.generation = ++m_commit_number;
      for (const storage::Write& write : transaction.writes) {
        if (write.value) {
          m_rows[write.key] = storage::Row{
              write.key, *write.value, m_commit_number, transaction.write_id};
        } else {
          m_rows.erase(write.key);
        }
      }
    }
  }
  if (fault == TableFault::kAnswerLost) {
    throw storage::Unavailable("the fake table service's answer was lost");
  }
  return result;
}

bool FakeTableService::Holds(const storage::Condition& condition) const {
  const auto row = m_rows.find(condition.key);
  if (condition.kind == storage::Condition::Kind::kGenerationIs) {
    const uint64_t generation =
        row == m_rows.end() ? storage::kAbsent : row->second.generation;
    return generation == condition.generation;
  }
  if (row == m_rows.end()) {
    return false;
  }
  const nlohmann::json value =
      nlohmann::json::parse(row->second.value, nullptr, false);
  return value.is_object() && value.contains(condition.field) &&
         value[condition.field] == condition.field_value;
}

TableFault FakeTableService::ChooseFault(bool is_commit) {
  std::function<TableFault(bool)> choose;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    choose = m_choose_fault;
  }
  return choose ? choose(is_commit) : TableFault::kNone;
}

void FakeTableService::SetChooseFault(std::function<TableFault(bool)> choose) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_choose_fault = std::move(choose);
}

void FakeTableService::SetBeforeCommit(std::function<void()> before_commit) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_before_commit = std::move(before_commit);
}

std::optional<storage::Row> FakeTableService::Find(
    const std::string& key) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto row = m_rows.find(key);
  return row == m_rows.end() ? std::nullopt
                             : std::optional<storage::Row>(row->second);
}

uint64_t FakeTableService::CountReads() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_reads;
}

uint64_t FakeTableService::CountCommits() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_commits;
}

uint64_t FakeTableService::CountBytes() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  uint64_t bytes = 0;
  for (const auto& [key, row] : m_rows) {
    bytes += key.size() + row.value.size();
  }
  return bytes;
}

}  // namespace shallotwick::fakes
