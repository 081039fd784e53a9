#include "fakes/fake_row_store.h"

#include <algorithm>
#include <utility>

namespace shallotwick::fakes {

namespace {

// As the platform's table service.
constexpr size_t kMaxValueBytes = 65'536;
constexpr size_t kMaxCallBytes = 1'000'000;
constexpr size_t kMaxEntries = 100;

bool ExceedsLimits(const storage::RowTransaction& transaction) {
  size_t bytes = 0;
  for (const storage::RowWrite& write : transaction.writes) {
    const size_t encoded = (write.value.size() + 2) / 3 * 4;
    if (encoded > kMaxValueBytes) {
      return true;
    }
    bytes += encoded;
  }
  return bytes > kMaxCallBytes ||
         storage::CountEntries(transaction) > kMaxEntries;
}

}  // namespace

uint64_t FakeRowStore::Put(const storage::RowKey& key,
                           const std::string& value) {
  m_rows[key] = {key, value, ++m_version, false};
  AnswerFeeds();
  return m_version;
}

storage::VersionedRow FakeRowStore::Get(const storage::RowKey& key) const {
  const auto found = m_rows.find(key);
  const bool exists = found != m_rows.end() && !found->second.is_removed;
  return exists ? found->second
                : storage::VersionedRow{key, "", storage::kNoVersion, false};
}

bool FakeRowStore::Apply(const storage::RowTransaction& transaction) {
  for (const storage::ExpectedVersion& expected : transaction.expected) {
    if (Get(expected.key).version != expected.version) {
      return false;
    }
  }
  ++m_version;
  for (const storage::RowWrite& write : transaction.writes) {
    m_rows[write.key] = {write.key, write.value, m_version, false};
  }
  for (const storage::RowKey& key : transaction.removals) {
    m_rows[key] = {key, "", m_version, true};
  }
  AnswerFeeds();
  return true;
}

void FakeRowStore::Commit(
    storage::RowTransaction transaction,
    std::function<void(storage::RowCommitResult)> on_end) {
  storage::RowCommitResult result;
  if (ExceedsLimits(transaction)) {
    ++m_rejections;
    result.status = storage::RowCommitStatus::kRejected;
  } else if (!m_faults.empty()) {
    const Fault fault = m_faults.front();
    m_faults.erase(m_faults.begin());
    if (fault.takes_effect) {
      Apply(transaction);
    }
    if (fault.is_late) {
      m_late.push_back(transaction);
    }
    result.status = fault.status;
  } else if (Apply(transaction)) {
    result.status = storage::RowCommitStatus::kCommitted;
    result.version = m_version;
  } else {
    result.status = storage::RowCommitStatus::kConflict;
    for (const storage::ExpectedVersion& expected : transaction.expected) {
      const storage::VersionedRow row = Get(expected.key);
      if (row.version != storage::kNoVersion) {
        result.current.push_back(row);
      }
    }
  }
  m_loop.Post([result, on_end = std::move(on_end)] { on_end(result); });
}

void FakeRowStore::CarryOutLate() {
  for (const storage::RowTransaction& transaction : std::exchange(m_late, {})) {
    Apply(transaction);
  }
}

void FakeRowStore::Read(const storage::RowRange& range,
                        std::function<void(storage::RowReadResult)> on_end) {
  storage::RowReadResult result;
  result.is_read = true;
  result.version = m_version;
  for (const auto& [key, row] : m_rows) {
    const bool is_in_range = key.table == range.table &&
                             key.part == range.part && key.key >= range.from &&
                             (range.until.empty() || key.key < range.until);
    if (is_in_range && !row.is_removed) {
      result.rows.push_back(row);
    }
  }
  m_loop.Post([result, on_end = std::move(on_end)] { on_end(result); });
}

std::vector<storage::VersionedRow> FakeRowStore::ListChanges(
    const std::string& table, uint64_t after) const {
  std::vector<storage::VersionedRow> changes;
  for (const auto& [key, row] : m_rows) {
    if (key.table == table && row.version > after) {
      changes.push_back(row);
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const auto& left, const auto& right) {
              return left.version < right.version;
            });
  return changes;
}

void FakeRowStore::ReadChanges(
    const std::string& table, uint64_t after, std::chrono::milliseconds wait,
    std::function<void(storage::ChangeFeedResult)> on_end) {
  m_waiting.push_back({table, after, wait.count() > 0, std::move(on_end)});
  AnswerFeeds();
}

void FakeRowStore::AnswerFeeds() {
  std::vector<Waiting> waiting = std::exchange(m_waiting, {});
  for (Waiting& one : waiting) {
    storage::ChangeFeedResult result;
    result.status = storage::ChangeFeedStatus::kRead;
    result.rows = ListChanges(one.table, one.after);
    result.version = m_version;
    if (result.rows.empty() && one.may_wait) {
      m_waiting.push_back(std::move(one));
      continue;
    }
    m_loop.Post([result, on_end = std::move(one.on_end)] { on_end(result); });
  }
}

}  // namespace shallotwick::fakes
