#include "storage/row_store.h"

#include <iterator>
#include <memory>
#include <utility>

namespace shallotwick::storage {
namespace {

// Smallest text that sorts after a key.
std::string After(const std::string& key) { return key + '\0'; }

void ReadPage(RowStore& store, const RowRange& range,
              std::shared_ptr<RowReadResult> whole,
              std::function<void(RowReadResult)> on_end) {
  store.Read(range, [&store, next = range, whole = std::move(whole),
                     on_end = std::move(on_end)](RowReadResult page) mutable {
    if (!page.is_read) {
      on_end(std::move(page));
      return;
    }
    if (!whole->is_read) {
      whole->is_read = true;
      whole->version = page.version;
    }
    std::move(page.rows.begin(), page.rows.end(),
              std::back_inserter(whole->rows));
    if (!page.is_truncated || whole->rows.empty()) {
      on_end(std::move(*whole));
      return;
    }
    next.from = After(whole->rows.back().key.key);
    ReadPage(store, next, std::move(whole), std::move(on_end));
  });
}

}  // namespace

void ReadWholePart(RowStore& store, const std::string& table,
                   const std::string& part,
                   std::function<void(RowReadResult)> on_end) {
  RowRange range;
  range.table = table;
  range.part = part;
  ReadPage(store, range, std::make_shared<RowReadResult>(), std::move(on_end));
}

}  // namespace shallotwick::storage
