#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "storage/table_service.h"

namespace shallotwick::fakes {

// What goes wrong with one call.
enum class TableFault {
  kNone,
  // Not answered, and without effect.
  kDown,
  // Not answered, after a commit took effect.
  kAnswerLost,
};

// A table service in memory. Safe to use from several threads.
class FakeTableService : public storage::TableService {
 public:
  std::vector<storage::Row> Read(const storage::ReadRequest& request) override;
  storage::CommitResult Commit(
      const storage::Transaction& transaction) override;

  // Chooses the fault of each call; none by default.
  void SetChooseFault(std::function<TableFault(bool is_commit)> choose);

  // Called before each commit, outside the lock: another process's chance to
  // come first.
  void SetBeforeCommit(std::function<void()> before_commit);

  std::optional<storage::Row> Find(const std::string& key) const;
  uint64_t CountReads() const;
  uint64_t CountCommits() const;
  // Bytes of all keys and values held.
  uint64_t CountBytes() const;

 private:
  bool Holds(const storage::Condition& condition) const;
  TableFault ChooseFault(bool is_commit);

  mutable std::mutex m_mutex;
  std::map<std::string, storage::Row> m_rows;
  uint64_t m_commit_number = 0;
  uint64_t m_reads = 0;
  uint64_t m_commits = 0;
  std::function<TableFault(bool)> m_choose_fault;
  std::function<void()> m_before_commit;
};

}  // namespace shallotwick::fakes
