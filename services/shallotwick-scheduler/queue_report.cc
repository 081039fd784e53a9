#include "queue_report.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "platform/wire_reader.h"

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
    const auto object = platform::ParseWire(row.value);
    const platform::WireReader reader(object);
    QueueReport report;
    report.counted_store_ms =
        reader.GetInteger("counted_store_ms", platform::kClockMsRange);
    const auto& queued = reader.Get("queued");
    if (!queued.is_object()) {
      throw std::runtime_error("queued: is not an object");
    }
    for (const auto& [route, count] : queued.items()) {
      report.queued[route] =
          platform::ReadInteger(count, "queued", platform::kAnyCount);
    }
    return report;
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kStoreContentInvalid, {{"pool", row.key.part},
                                                   {"row", row.key.table},
                                                   {"fault", error.what()}});
    return std::nullopt;
  }
}

}  // namespace shallotwick::scheduler
