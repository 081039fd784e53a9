#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// How long the store may wait for changes before it answers a feed.
inline constexpr auto kUsualFeedWait = std::chrono::milliseconds(3'000);
// For tables whose changes must be acted on within seconds. A question that is
// lost, as the store goes away or its connection falls silent, shows only when
// this and the store's timeout are over.
inline constexpr auto kPromptFeedWait = std::chrono::milliseconds(600);
// Before a feed that failed is asked again, half of it more or less.
inline constexpr auto kFeedRetryDelay = std::chrono::milliseconds(200);

struct TableFollowerOptions {
  std::string table;
  // The parts that are read at the start and after a loss of history.
  std::vector<std::string> parts;
  // Between an answer and the next question, so that changes gather.
  base::Duration pause{0};
  // A feed that was silent for so long is checked by reading the parts; zero
  // for never. Feeds may fall silent while changes are made.
  base::Duration silence{0};
  std::chrono::milliseconds feed_wait = kUsualFeedWait;
};

// Keeps up with a table: reads its parts, then follows its changes, and reads
// them again when the store has dropped the history in between.
class TableFollower {
 public:
  TableFollower(base::EventLoop& loop, storage::RowStore& store,
                TableFollowerOptions options);

  // All rows of the parts as of one moment each.
  std::function<void(const std::vector<storage::VersionedRow>&)> m_on_reset;
  std::function<void(const storage::VersionedRow&)> m_on_change;

  void Start();
  void Stop();
  // Reads from anew, with these parts.
  void Restart(std::vector<std::string> parts);
  bool IsLoaded() const { return m_is_loaded; }

 private:
  void ReadNextPart();
  void Follow();
  void RetryAfterPause(void (TableFollower::*step)());
  void WatchSilence();
  void CheckSilence();
  void OnFeed(const storage::RowFeedResult& result);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  TableFollowerOptions m_options;
  std::vector<storage::VersionedRow> m_loading;
  size_t m_next_part = 0;
  uint64_t m_version = 0;
  // Answers to questions from before a restart are dropped.
  int m_generation = 0;
  bool m_is_loaded = false;
  bool m_is_watching_silence = false;
  base::TimePoint m_last_news;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
