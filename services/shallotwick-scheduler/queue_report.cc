#include "queue_report.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

// Counts may be two seconds old when they are shown; an owner that reports each
// second keeps them younger unless it is gone or can't write.
constexpr auto kLongestAge = std::chrono::milliseconds(1'800);

}  // namespace

bool QueueReport::IsFresh(int64_t store_ms) const {
  return store_ms - counted_store_ms <= kLongestAge.count();
}

std::string EncodeQueueReport(const QueueReport& report) {
  return nlohmann::json{{"counted_store_ms", report.counted_store_ms},
                        {"queued", report.queued}}
      .dump();
}

std::optional<QueueReport> ReadQueueReport(const storage::VersionedRow& row) {
  if (row.version == storage::kNoVersion || row.is_removed) {
    return std::nullopt;
  }
  try {
    const auto object = nlohmann::json::parse(row.value);
    QueueReport report;
    object.at("counted_store_ms").get_to(report.counted_store_ms);
    object.at("queued").get_to(report.queued);
    return report;
  } catch (const nlohmann::json::exception& error) {
    base::Log(base::events::kStoreContentInvalid, {{"pool", row.key.part},
                                                   {"row", row.key.table},
                                                   {"fault", error.what()}});
    return std::nullopt;
  }
}

}  // namespace shallotwick::scheduler
