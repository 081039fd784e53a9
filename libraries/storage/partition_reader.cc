#include "storage/partition_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/backoff.h"

namespace shallotwick::storage {
namespace {

// Average delay before a failed page is read again.
constexpr auto kRetryDelay = std::chrono::milliseconds(200);
// A page that fails later may have been too large for the link.
constexpr auto kMaxPageTime = std::chrono::milliseconds(300);
// A larger page pays off if it brings more rows in the same time; on a narrow
// link it does not.
constexpr double kMinGain = 1.3;
constexpr double kMinMeasuredSeconds = 0.001;
// The first page is small, as a narrow link may need longer for a large one
// than the store's adapter waits.
constexpr int kFirstPageRows = 32;
// A page that takes longer is large enough, whatever the gain.
constexpr auto kLongPageTime = std::chrono::milliseconds(1'000);
constexpr int kMaxPageRows = 500;
// A row has at most 64 KB.
constexpr int kMinPageRows = 16;

}  // namespace

PartitionReader::PartitionReader(base::EventLoop& loop, RowStore& store)
    : m_loop(loop), m_store(store) {}

void PartitionReader::Read(const std::string& table, const std::string& part,
                           std::function<void(RowReadResult)> on_end) {
  ++m_generation;
  m_next = {};
  m_next.table = table;
  m_next.part = part;
  m_next.limit = kFirstPageRows;
  m_rows_per_second = 0;
  m_result = {};
  m_on_end = std::move(on_end);
  ReadPage();
}

void PartitionReader::Stop() {
  ++m_generation;
  m_on_end = nullptr;
}

void PartitionReader::ReadPage() {
  m_store.Read(
      m_next,
      m_lifetime.Guard([this, generation = m_generation,
                        sent = base::RuntimeClock::now()](RowReadResult page) {
        if (generation == m_generation) {
          OnPage(sent, std::move(page));
        }
      }));
}

void PartitionReader::OnPage(base::TimePoint sent, RowReadResult page) {
  const int generation = m_generation;
  m_on_page(page);
  if (generation != m_generation) {
    return;
  }
  AdaptPageSize(page, base::RuntimeClock::now() - sent);
  if (!page.is_read) {
    m_loop.RunAfter(base::SpreadDelay(kRetryDelay),
                    m_lifetime.Guard([this, generation] {
                      if (generation == m_generation) {
                        ReadPage();
                      }
                    }));
    return;
  }
  if (!m_result.is_read) {
    m_result.is_read = true;
    m_result.version = page.version;
  }
  std::move(page.rows.begin(), page.rows.end(),
            std::back_inserter(m_result.rows));
  if (page.is_truncated && !m_result.rows.empty()) {
    m_next.from = GetSuccessor(m_result.rows.back().key.key);
    ReadPage();
    return;
  }
  std::exchange(m_on_end, nullptr)(std::exchange(m_result, {}));
}

void PartitionReader::AdaptPageSize(const RowReadResult& page,
                                    base::Duration page_time) {
  if (!page.is_read) {
    // A page that is refused at once says nothing about the link.
    if (page_time > kMaxPageTime) {
      m_next.limit = std::max(m_next.limit / 2, kMinPageRows);
    }
    return;
  }
  const double seconds = std::chrono::duration<double>(page_time).count();
  const double rate = static_cast<double>(page.rows.size()) /
                      std::max(seconds, kMinMeasuredSeconds);
  const bool pays_off = rate > kMinGain * m_rows_per_second;
  if (page_time < kMaxPageTime / 4 || (pays_off && page_time < kLongPageTime)) {
    m_next.limit = std::min(m_next.limit * 2, kMaxPageRows);
  }
  m_rows_per_second = rate;
}

}  // namespace shallotwick::storage
