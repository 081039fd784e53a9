#include "table_follower.h"

#include <algorithm>
#include <utility>

#include "base/backoff.h"
#include "base/random_identifier.h"

namespace shallotwick::scheduler {

TableFollower::TableFollower(base::EventLoop& loop, storage::RowStore& store,
                             TableFollowerOptions options)
    : m_loop(loop), m_store(store), m_options(std::move(options)) {}

void TableFollower::Start() {
  ++m_generation;
  m_loading.clear();
  m_next_part = 0;
  ReadNextPart();
}

void TableFollower::Stop() {
  ++m_generation;
  m_is_loaded = false;
}

void TableFollower::Restart(std::vector<std::string> parts) {
  m_options.parts = std::move(parts);
  Start();
}

void TableFollower::ReadNextPart() {
  if (m_next_part == m_options.parts.size()) {
    m_is_loaded = true;
    m_on_reset(m_loading);
    m_loading.clear();
    m_last_news = base::RuntimeClock::now();
    if (!m_options.parts.empty()) {
      Follow();
      WatchSilence();
    }
    return;
  }
  storage::ReadWholePart(
      m_store, m_options.table, m_options.parts[m_next_part],
      m_lifetime.Guard([this, generation = m_generation](
                           const storage::RowReadResult& result) {
        if (generation != m_generation) {
          return;
        }
        if (!result.is_read) {
          RetryAfterPause(&TableFollower::ReadNextPart);
          return;
        }
        m_version = m_next_part == 0 ? result.version
                                     : std::min(m_version, result.version);
        m_loading.insert(m_loading.end(), result.rows.begin(),
                         result.rows.end());
        ++m_next_part;
        ReadNextPart();
      }));
}

void TableFollower::Follow() {
  m_store.Follow(m_options.table, m_version, m_options.feed_wait,
                 m_lifetime.Guard([this, generation = m_generation](
                                      const storage::RowFeedResult& result) {
                   if (generation == m_generation) {
                     OnFeed(result);
                   }
                 }));
}

void TableFollower::WatchSilence() {
  if (m_is_watching_silence || m_options.silence == base::Duration(0)) {
    return;
  }
  m_is_watching_silence = true;
  m_loop.RunAfter(m_options.silence, m_lifetime.Guard([this] {
    m_is_watching_silence = false;
    if (!m_is_loaded) {
      return;
    }
    if (base::RuntimeClock::now() >= m_last_news + m_options.silence) {
      CheckSilence();
    } else {
      WatchSilence();
    }
  }));
}

// Reads the first part; the followers that check have only one.
void TableFollower::CheckSilence() {
  storage::ReadWholePart(
      m_store, m_options.table, m_options.parts.front(),
      m_lifetime.Guard([this, generation = m_generation](
                           const storage::RowReadResult& result) {
        // What the feed has brought meanwhile is newer.
        const bool is_news = result.is_read && generation == m_generation &&
                             result.version > m_version;
        if (is_news) {
          m_version = result.version;
          m_on_reset(result.rows);
        }
        m_last_news = base::RuntimeClock::now();
        WatchSilence();
      }));
}

void TableFollower::OnFeed(const storage::RowFeedResult& result) {
  switch (result.status) {
    case storage::FeedStatus::kHistoryGone:
      Start();
      return;
    case storage::FeedStatus::kFailed:
      RetryAfterPause(&TableFollower::Follow);
      return;
    case storage::FeedStatus::kRead:
      break;
  }
  const int generation = m_generation;
  if (!result.rows.empty()) {
    m_last_news = base::RuntimeClock::now();
  }
  for (const storage::VersionedRow& row : result.rows) {
    // A reading in between may have been newer than this.
    if (row.version > m_version) {
      m_on_change(row);
    }
    if (generation != m_generation) {
      return;
    }
  }
  m_version = std::max(m_version, result.version);
  const bool pauses =
      m_options.pause > base::Duration(0) && !result.rows.empty();
  if (!pauses) {
    Follow();
    return;
  }
  m_loop.RunAfter(m_options.pause,
                  m_lifetime.Guard([this, generation = m_generation] {
                    if (generation == m_generation) {
                      Follow();
                    }
                  }));
}

void TableFollower::RetryAfterPause(void (TableFollower::*step)()) {
  constexpr double kHalfEitherWay = 1.0;
  const auto delay = base::SpreadPeriod(
      kFeedRetryDelay, base::MakeRandomFraction(), kHalfEitherWay);
  m_loop.RunAfter(delay,
                  m_lifetime.Guard([this, step, generation = m_generation] {
                    if (generation == m_generation) {
                      (this->*step)();
                    }
                  }));
}

}  // namespace shallotwick::scheduler
