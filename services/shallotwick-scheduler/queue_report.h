#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "storage/row_store.h"

namespace shallotwick::scheduler {

// How many jobs of each route wait for their first task, as the pool's owner
// counted them.
struct QueueReport {
  // The store's steady clock at the time.
  int64_t counted_store_ms = 0;
  // Routes without a waiting job are left out.
  std::map<std::string, int64_t> queued;

  // Whether it may be shown `store_ms` by the store's clock.
  bool IsFresh(int64_t store_ms) const;

  auto operator<=>(const QueueReport&) const = default;
};

std::string EncodeQueueReport(const QueueReport& report);
// Nothing, and a log line, if the row is of another form; nothing if there is
// none.
std::optional<QueueReport> ReadQueueReport(const storage::VersionedRow& row);

}  // namespace shallotwick::scheduler
