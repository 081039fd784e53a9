#include "table_follower.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/backoff.h"

namespace shallotwick::scheduler {
namespace {

// Checks of an idle feed read whole partitions. Their share of the time, and so
// of the host's link and processor, is bounded by one part in this many.
constexpr int kIdleCheckFactor = 8;
// A load that took longer is brought up to date before it is delivered.
constexpr auto kMaxLoadAge = std::chrono::milliseconds(500);
// On a link that is full, changes may take as long as a load.
constexpr int kMaxCatchUps = 3;

}  // namespace

TableFollower::TableFollower(base::EventLoop& loop, storage::RowStore& store,
                             TableFollowerOptions options)
    : m_loop(loop),
      m_store(store),
      m_options(std::move(options)),
      m_reader(loop, store) {
  m_reader.m_on_page = [this](const storage::RowReadResult& page) {
    m_on_page(page);
  };
}

void TableFollower::Start() {
  ++m_generation;
  m_reader.Stop();
  m_loading.clear();
  m_next_partition = 0;
  m_catch_ups = 0;
  m_load_current_as_of = base::RuntimeClock::now();
  ReadNextPartition();
}

void TableFollower::Stop() {
  ++m_generation;
  m_is_loaded = false;
  m_reader.Stop();
}

void TableFollower::Restart(std::vector<std::string> partitions) {
  m_options.partitions = std::move(partitions);
  Start();
}

void TableFollower::ReadNextPartition() {
  if (m_next_partition == m_options.partitions.size()) {
    CatchUp();
    return;
  }
  m_reader.Read(m_options.table, m_options.partitions[m_next_partition],
                [this](const storage::RowReadResult& result) {
                  m_version = m_next_partition == 0
                                  ? result.version
                                  : std::min(m_version, result.version);
                  m_loading.insert(m_loading.end(), result.rows.begin(),
                                   result.rows.end());
                  ++m_next_partition;
                  ReadNextPartition();
                });
}

// Whoever acts on the rows of a long load would act on rows that were removed
// meanwhile, until the feed has told of it.
void TableFollower::CatchUp() {
  const auto sent = base::RuntimeClock::now();
  const bool is_current = sent < m_load_current_as_of + kMaxLoadAge;
  if (is_current || m_options.partitions.empty() ||
      m_catch_ups == kMaxCatchUps) {
    FinishLoad();
    return;
  }
  ++m_catch_ups;
  m_store.ReadChanges(
      m_options.table, m_version, std::chrono::milliseconds(0),
      m_lifetime.Guard([this, generation = m_generation,
                        sent](const storage::ChangeFeedResult& result) {
        if (generation != m_generation) {
          return;
        }
        switch (result.status) {
          case storage::ChangeFeedStatus::kHistoryTruncated:
            Start();
            return;
          case storage::ChangeFeedStatus::kFailed:
            FinishLoad();
            return;
          case storage::ChangeFeedStatus::kRead:
            break;
        }
        MergeIntoLoad(result.rows);
        m_version = std::max(m_version, result.version);
        m_load_current_as_of = sent;
        CatchUp();
      }));
}

void TableFollower::MergeIntoLoad(
    const std::vector<storage::VersionedRow>& changes) {
  std::map<storage::RowKey, storage::VersionedRow> rows;
  for (storage::VersionedRow& row : m_loading) {
    rows[row.key] = std::move(row);
  }
  for (const storage::VersionedRow& change : changes) {
    const auto known = rows.find(change.key);
    // A later page may contain a newer version.
    const bool is_newer =
        known == rows.end() || change.version > known->second.version;
    if (IsFollowed(change) && is_newer) {
      rows[change.key] = change;
    }
  }
  m_loading.clear();
  for (auto& [key, row] : rows) {
    if (!row.is_removed) {
      m_loading.push_back(std::move(row));
    }
  }
}

void TableFollower::FinishLoad() {
  m_is_loaded = true;
  SetCurrentAsOf(m_load_current_as_of);
  m_on_reset(m_loading);
  m_loading.clear();
  m_last_update = base::RuntimeClock::now();
  if (!m_options.partitions.empty()) {
    ReadChanges();
    ScheduleIdleCheck();
  }
}

void TableFollower::SetCurrentAsOf(base::TimePoint time) {
  m_current_as_of = std::max(m_current_as_of, time);
}

void TableFollower::ReadChanges() {
  m_store.ReadChanges(
      m_options.table, m_version, m_options.feed_wait,
      m_lifetime.Guard(
          [this, generation = m_generation, sent = base::RuntimeClock::now()](
              const storage::ChangeFeedResult& result) {
            if (generation == m_generation) {
              if (result.status == storage::ChangeFeedStatus::kRead) {
                SetCurrentAsOf(sent);
              }
              OnFeed(result);
            }
          }));
}

void TableFollower::ScheduleIdleCheck() {
  if (m_is_idle_check_scheduled ||
      m_options.idle_timeout == base::Duration(0)) {
    return;
  }
  m_is_idle_check_scheduled = true;
  m_loop.RunAfter(m_options.idle_timeout, m_lifetime.Guard([this] {
    m_is_idle_check_scheduled = false;
    if (!m_is_loaded) {
      return;
    }
    const auto now = base::RuntimeClock::now();
    if (now >= m_last_update + m_options.idle_timeout &&
        now >= m_next_idle_check) {
      ReloadAfterIdle();
    } else {
      ScheduleIdleCheck();
    }
  }));
}

// Reads only the first partition: followers that use this check have a single
// one.
void TableFollower::ReloadAfterIdle() {
  storage::ReadPartition(
      m_store, m_options.table, m_options.partitions.front(),
      m_lifetime.Guard(
          [this, generation = m_generation, sent = base::RuntimeClock::now()](
              const storage::RowReadResult& result) {
            if (result.is_read && generation == m_generation) {
              SetCurrentAsOf(sent);
            }
            // The feed may have delivered newer changes in the meantime.
            const bool is_reload_newer = result.is_read &&
                                         generation == m_generation &&
                                         result.version > m_version;
            if (is_reload_newer) {
              m_version = result.version;
              m_on_reset(result.rows);
            }
            m_last_update = base::RuntimeClock::now();
            if (result.is_read) {
              m_next_idle_check =
                  m_last_update + kIdleCheckFactor * (m_last_update - sent);
            }
            ScheduleIdleCheck();
          }));
}

// Another writer may have put rows into other partitions.
bool TableFollower::IsFollowed(const storage::VersionedRow& row) const {
  const auto& followed = m_options.partitions;
  return std::find(followed.begin(), followed.end(), row.key.part) !=
         followed.end();
}

void TableFollower::OnFeed(const storage::ChangeFeedResult& result) {
  switch (result.status) {
    case storage::ChangeFeedStatus::kHistoryTruncated:
      Start();
      return;
    case storage::ChangeFeedStatus::kFailed:
      ReadChangesAfterDelay();
      return;
    case storage::ChangeFeedStatus::kRead:
      break;
  }
  const int generation = m_generation;
  if (!result.rows.empty()) {
    m_last_update = base::RuntimeClock::now();
  }
  for (const storage::VersionedRow& row : result.rows) {
    // ReloadAfterIdle may already have read a newer version.
    if (IsFollowed(row) && row.version > m_version) {
      m_on_change(row);
    }
    if (generation != m_generation) {
      return;
    }
  }
  m_version = std::max(m_version, result.version);
  const bool is_delayed =
      m_options.batch_delay > base::Duration(0) && !result.rows.empty();
  if (!is_delayed) {
    ReadChanges();
    return;
  }
  m_loop.RunAfter(m_options.batch_delay,
                  m_lifetime.Guard([this, generation = m_generation] {
                    if (generation == m_generation) {
                      ReadChanges();
                    }
                  }));
}

void TableFollower::ReadChangesAfterDelay() {
  m_loop.RunAfter(base::SpreadDelay(kFeedRetryDelay),
                  m_lifetime.Guard([this, generation = m_generation] {
                    if (generation == m_generation) {
                      ReadChanges();
                    }
                  }));
}

}  // namespace shallotwick::scheduler
