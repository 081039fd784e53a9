#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace shallotwick::storage {

// Address of a row. Rows of the same partition can be written together at the
// lowest cost.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;

  auto operator<=>(const RowKey&) const = default;
};

// Version that stands for a row that does not exist.
inline constexpr uint64_t kNoVersion = 0;

struct VersionedRow {
  RowKey key;
  std::string value;
  // Drawn from a single counter for the entire store.
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

// Applied atomically if all rows have their expected versions.
struct RowTransaction {
  std::vector<ExpectedVersion> expected;
  std::vector<RowWrite> writes;
  std::vector<RowKey> removals;

  auto operator<=>(const RowTransaction&) const = default;
};

// Maximum number of entries in a transaction: expected versions, writes and
// removals together.
inline constexpr size_t kMaxTransactionEntries = 100;
// Maximum size of a value; the store's limit of 64 KiB may count base64.
inline constexpr size_t kMaxRowBytes = size_t{48} * 1024;
// Maximum of EstimateBytes; the store takes 1 MB a call.
inline constexpr size_t kMaxTransactionBytes = 900'000;

size_t CountEntries(const RowTransaction& transaction);
// Returns an upper bound of the transaction's size in a call.
size_t EstimateBytes(const RowTransaction& transaction);
// Returns whether a transaction with the entries of both fits into one call.
bool FitsTogether(const RowTransaction& transaction,
                  const RowTransaction& addition);
// Adds the entries of `addition`.
void Append(const RowTransaction& addition, RowTransaction& transaction);

enum class RowCommitStatus {
  kCommitted,
  // A row did not have its expected version; nothing was written.
  kConflict,
  // The store refused the transaction; nothing was written.
  kRefused,
  // The store refused the transaction for good, for what it contains or for its
  // size; nothing was written.
  kRejected,
  // No response: the transaction may have been committed, or may still be.
  kUnknown,
};

struct RowCommitResult {
  RowCommitStatus status = RowCommitStatus::kUnknown;
  // Version of the rows written.
  uint64_t version = kNoVersion;
  // After a conflict: the current state of the rows with an expected version.
  std::vector<VersionedRow> current;
  std::string error;

  auto operator<=>(const RowCommitResult&) const = default;
};

struct RowRange {
  std::string table;
  std::string part;
  // First key of the range; empty for the beginning of the partition.
  std::string from;
  // First key after the range; empty for the end of the partition.
  std::string until;
  int limit = 500;

  auto operator<=>(const RowRange&) const = default;
};

struct RowReadResult {
  bool is_read = false;
  std::vector<VersionedRow> rows;
  // The range contains more rows after the last one returned.
  bool is_truncated = false;
  // Version of the store at which the rows were read.
  uint64_t version = kNoVersion;
  std::string error;

  auto operator<=>(const RowReadResult&) const = default;
};

enum class ChangeFeedStatus {
  kRead,
  // The store no longer has the changes after this version; the table must be
  // read again.
  kHistoryTruncated,
  kFailed,
};

struct ChangeFeedResult {
  ChangeFeedStatus status = ChangeFeedStatus::kFailed;
  std::vector<VersionedRow> rows;
  // Version from which to continue.
  uint64_t version = kNoVersion;
  std::string error;

  auto operator<=>(const ChangeFeedResult&) const = default;
};

// Asynchronous interface to the platform's table service. Callbacks are called
// on the event loop, never from within the call.
class RowStore {
 public:
  virtual ~RowStore() = default;

  virtual void Commit(RowTransaction transaction,
                      std::function<void(RowCommitResult)> on_end) = 0;
  virtual void Read(const RowRange& range,
                    std::function<void(RowReadResult)> on_end) = 0;
  // Returns the changes of a table after a version; waits up to `wait` for the
  // first one.
  virtual void ReadChanges(const std::string& table, uint64_t after,
                           std::chrono::milliseconds wait,
                           std::function<void(ChangeFeedResult)> on_end) = 0;
};

// Returns the smallest key that sorts after `key`.
std::string GetSuccessor(const std::string& key);

// Reads an entire partition page by page; fails if a page does. The result has
// the version of the first page, so that no change is missed when the change
// feed is read from there.
void ReadPartition(RowStore& store, const std::string& table,
                   const std::string& part,
                   std::function<void(RowReadResult)> on_end);

}  // namespace shallotwick::storage
