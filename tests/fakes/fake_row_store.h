#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "storage/row_store.h"

namespace shallotwick::fakes {

// The store in memory. Answers on the event loop, or not at all.
class FakeRowStore : public storage::RowStore {
 public:
  explicit FakeRowStore(base::EventLoop& loop) : m_loop(loop) {}

  void Commit(storage::RowTransaction transaction,
              std::function<void(storage::RowCommitResult)> on_end) override;
  void Read(const storage::RowRange& range,
            std::function<void(storage::RowReadResult)> on_end) override;
  // Answers as soon as a change is there, at once if it may not wait.
  void ReadChanges(
      const std::string& table, uint64_t after, std::chrono::milliseconds wait,
      std::function<void(storage::ChangeFeedResult)> on_end) override;

  // The next commits end so, and take effect or not; then all is well again.
  struct Fault {
    storage::RowCommitStatus status = storage::RowCommitStatus::kUnknown;
    bool takes_effect = false;
    // Kept until CarryOutLate().
    bool is_late = false;
  };
  std::vector<Fault> m_faults;
  // Carries out the late commits whose conditions still hold.
  void CarryOutLate();

  // How many transactions exceeded the limits of the table service.
  int m_rejections = 0;

  uint64_t Put(const storage::RowKey& key, const std::string& value);
  // The row, without a version if there is none.
  storage::VersionedRow Get(const storage::RowKey& key) const;

 private:
  struct Waiting {
    std::string table;
    uint64_t after = 0;
    bool may_wait = true;
    std::function<void(storage::ChangeFeedResult)> on_end;
  };

  bool Apply(const storage::RowTransaction& transaction);
  std::vector<storage::VersionedRow> ListChanges(const std::string& table,
                                                 uint64_t after) const;
  void AnswerFeeds();

  base::EventLoop& m_loop;
  std::map<storage::RowKey, storage::VersionedRow> m_rows;
  std::vector<Waiting> m_waiting;
  std::vector<storage::RowTransaction> m_late;
  uint64_t m_version = 0;
};

}  // namespace shallotwick::fakes
