#include "storage/row_store.h"

#include <iterator>
#include <memory>
#include <utility>

namespace shallotwick::storage {
namespace {

// Field names, punctuation and a version.
constexpr size_t kBytesPerEntry = 80;
// Control characters of a key are written as six.
constexpr size_t kMaxEscapeFactor = 6;

void ReadPage(RowStore& store, const RowRange& range,
              std::shared_ptr<RowReadResult> result,
              std::function<void(RowReadResult)> on_end) {
  store.Read(range, [&store, next = range, result = std::move(result),
                     on_end = std::move(on_end)](RowReadResult page) mutable {
    if (!page.is_read) {
      on_end(std::move(page));
      return;
    }
    if (!result->is_read) {
      result->is_read = true;
      result->version = page.version;
    }
    std::move(page.rows.begin(), page.rows.end(),
              std::back_inserter(result->rows));
    if (!page.is_truncated || result->rows.empty()) {
      on_end(std::move(*result));
      return;
    }
    next.from = GetSuccessor(result->rows.back().key.key);
    ReadPage(store, next, std::move(result), std::move(on_end));
  });
}

}  // namespace

size_t CountEntries(const RowTransaction& transaction) {
  return transaction.expected.size() + transaction.writes.size() +
         transaction.removals.size();
}

size_t EstimateBytes(const RowTransaction& transaction) {
  const auto count_key = [](const RowKey& key) {
    return kBytesPerEntry +
           kMaxEscapeFactor *
               (key.table.size() + key.part.size() + key.key.size());
  };
  size_t bytes = kBytesPerEntry;
  for (const ExpectedVersion& expected : transaction.expected) {
    bytes += count_key(expected.key);
  }
  for (const RowWrite& write : transaction.writes) {
    bytes += count_key(write.key) + (write.value.size() + 2) / 3 * 4;
  }
  for (const RowKey& removal : transaction.removals) {
    bytes += count_key(removal);
  }
  return bytes;
}

bool FitsTogether(const RowTransaction& transaction,
                  const RowTransaction& addition) {
  return CountEntries(transaction) + CountEntries(addition) <=
             kMaxTransactionEntries &&
         EstimateBytes(transaction) + EstimateBytes(addition) <=
             kMaxTransactionBytes;
}

void Append(const RowTransaction& addition, RowTransaction& transaction) {
  const auto append = [](const auto& from, auto& to) {
    to.insert(to.end(), from.begin(), from.end());
  };
  append(addition.expected, transaction.expected);
  append(addition.writes, transaction.writes);
  append(addition.removals, transaction.removals);
}

std::string GetSuccessor(const std::string& key) { return key + '\0'; }

void ReadPartition(RowStore& store, const std::string& table,
                   const std::string& part,
                   std::function<void(RowReadResult)> on_end) {
  RowRange range;
  range.table = table;
  range.part = part;
  ReadPage(store, range, std::make_shared<RowReadResult>(), std::move(on_end));
}

}  // namespace shallotwick::storage
