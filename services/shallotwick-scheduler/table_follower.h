#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "storage/partition_reader.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// How long the store may hold a change feed request open while there are no
// changes.
inline constexpr auto kDefaultFeedWait = std::chrono::milliseconds(3'000);
// For tables whose changes must take effect within seconds. A request lost
// because the store fails or its connection becomes unresponsive is detected
// only after this wait plus the store's timeout.
inline constexpr auto kShortFeedWait = std::chrono::milliseconds(600);
// Average delay before a failed request is retried; the actual delay varies by
// 50 % in either direction.
inline constexpr auto kFeedRetryDelay = std::chrono::milliseconds(200);

struct TableFollowerOptions {
  std::string table;
  // Partitions to read at the start and after the store has dropped change
  // history.
  std::vector<std::string> partitions;
  // Delay between a response with changes and the next feed request, so that
  // changes are batched.
  base::Duration batch_delay{0};
  // A feed that has delivered no changes for this long is verified by reading
  // the first partition; zero disables the check. A feed may stop delivering
  // although changes are made.
  base::Duration idle_timeout{0};
  std::chrono::milliseconds feed_wait = kDefaultFeedWait;
};

// Delivers the contents and changes of a table: reads its partitions, then
// follows its change feed. Reads the partitions again if the store has dropped
// the change history in between.
class TableFollower {
 public:
  TableFollower(base::EventLoop& loop, storage::RowStore& store,
                TableFollowerOptions options);

  // Called with all rows of the partitions, each page read as of one point in
  // time. Changes made meanwhile are delivered after it.
  std::function<void(const std::vector<storage::VersionedRow>&)> m_on_reset;
  std::function<void(const storage::VersionedRow&)> m_on_change;
  // Called for each page of a partition that was read or could not be read.
  std::function<void(const storage::RowReadResult&)> m_on_page =
      [](const storage::RowReadResult&) {};

  void Start();
  void Stop();
  // Starts again with the given partitions.
  void Restart(std::vector<std::string> partitions);
  bool IsLoaded() const { return m_is_loaded; }
  // Returns a time up to which all changes have certainly been delivered.
  base::TimePoint GetCurrentAsOf() const { return m_current_as_of; }

 private:
  void ReadNextPartition();
  // Merges the changes made during a long load into it.
  void CatchUp();
  void MergeIntoLoad(const std::vector<storage::VersionedRow>& changes);
  void FinishLoad();
  bool IsFollowed(const storage::VersionedRow& row) const;
  void SetCurrentAsOf(base::TimePoint time);
  void ReadChanges();
  void ReadChangesAfterDelay();
  void ScheduleIdleCheck();
  void ReloadAfterIdle();
  void OnFeed(const storage::ChangeFeedResult& result);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  TableFollowerOptions m_options;
  storage::PartitionReader m_reader;
  std::vector<storage::VersionedRow> m_loading;
  size_t m_next_partition = 0;
  int m_catch_ups = 0;
  uint64_t m_version = 0;
  // Incremented by each start and stop; responses to requests of an older
  // generation are dropped.
  int m_generation = 0;
  bool m_is_loaded = false;
  bool m_is_idle_check_scheduled = false;
  base::TimePoint m_last_update;
  // No idle check is due before this time.
  base::TimePoint m_next_idle_check;
  base::TimePoint m_current_as_of;
  // A time up to which the load contains all changes.
  base::TimePoint m_load_current_as_of;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
