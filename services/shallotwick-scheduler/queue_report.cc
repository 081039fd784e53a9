#include "queue_report.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

// Counts returned to callers may be at most 2 s old. An owner reports every
// second, so its reports stay younger than this unless it is gone or cannot
// write.
constexpr auto kMaxReportAge = std::chrono::milliseconds(1'800);

}  // namespace

bool QueueReport::IsFresh(int64_t store_ms) const {
  return store_ms - counted_store_ms <= kMaxReportAge.count();
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
