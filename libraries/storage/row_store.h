#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace shallotwick::storage {

// Where a row is. Rows of one part can be written together at the lowest cost.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;

  auto operator<=>(const RowKey&) const = default;
};

// Version of a row that does not exist.
inline constexpr uint64_t kNoVersion = 0;

struct VersionedRow {
  RowKey key;
  std::string value;
  // From one counter of the whole store.
  uint64_t version = kNoVersion;
  bool is_removed = false;

  auto operator<=>(const VersionedRow&) const = default;
};

struct ExpectedVersion {
  RowKey key;
  uint64_t version = kNoVersion;

  auto operator<=>(const ExpectedVersion&) const = default;
};

struct RowWrite {
  RowKey key;
  std::string value;

  auto operator<=>(const RowWrite&) const = default;
};

// Takes effect as a whole, if all expected versions hold.
struct RowTransaction {
  std::vector<ExpectedVersion> expected;
  std::vector<RowWrite> writes;
  std::vector<RowKey> removals;

  auto operator<=>(const RowTransaction&) const = default;
};

// Entries of one transaction, of all kinds together.
inline constexpr size_t kMostTransactionEntries = 100;

enum class RowCommitStatus {
  kCommitted,
  // An expected version does not hold; nothing was done.
  kConflict,
  // The store declined; nothing was done.
  kRefused,
  // No answer: it may have been done, or may still be.
  kUnknown,
};

struct RowCommitResult {
  RowCommitStatus status = RowCommitStatus::kUnknown;
  // Version of the rows written.
  uint64_t version = kNoVersion;
  // After a conflict: the rows that were expected, as they are.
  std::vector<VersionedRow> current;
  std::string error;

  auto operator<=>(const RowCommitResult&) const = default;
};

struct RowRange {
  std::string table;
  std::string part;
  // First key; empty for the beginning.
  std::string from;
  // First key that is not part of it; empty for the end.
  std::string until;
  int limit = 500;

  auto operator<=>(const RowRange&) const = default;
};

struct RowReadResult {
  bool is_read = false;
  std::vector<VersionedRow> rows;
  // More rows follow the last one.
  bool is_truncated = false;
  // The store's version as of which the rows were read.
  uint64_t version = kNoVersion;
  std::string error;

  auto operator<=>(const RowReadResult&) const = default;
};

enum class FeedStatus {
  kRead,
  // The store has dropped what came after the version; read the table anew.
  kHistoryGone,
  kFailed,
};

struct RowFeedResult {
  FeedStatus status = FeedStatus::kFailed;
  std::vector<VersionedRow> rows;
  // Where to continue.
  uint64_t version = kNoVersion;
  std::string error;

  auto operator<=>(const RowFeedResult&) const = default;
};

// The platform's table service, asynchronous. Callbacks come on the event loop,
// never from within the call.
class RowStore {
 public:
  virtual ~RowStore() = default;

  virtual void Commit(RowTransaction transaction,
                      std::function<void(RowCommitResult)> on_end) = 0;
  virtual void Read(const RowRange& range,
                    std::function<void(RowReadResult)> on_end) = 0;
  // Waits for changes of a table after a version.
  virtual void Follow(const std::string& table, uint64_t after,
                      std::chrono::milliseconds wait,
                      std::function<void(RowFeedResult)> on_end) = 0;
};

// Reads a whole part, page by page; the version is that of the first page, so
// that following from there misses nothing.
void ReadWholePart(RowStore& store, const std::string& table,
                   const std::string& part,
                   std::function<void(RowReadResult)> on_end);

}  // namespace shallotwick::storage
