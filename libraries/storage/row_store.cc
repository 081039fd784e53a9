#include "storage/row_store.h"

#include <iterator>
#include <memory>
#include <utility>

namespace shallotwick::storage {
namespace {

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
