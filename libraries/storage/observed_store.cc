#include "storage/observed_store.h"

#include <utility>

namespace shallotwick::storage {
namespace {

// The time of larger answers says more about the link than about the store.
constexpr size_t kMaxTimedRows = 50;

}  // namespace

void ObservedStore::OnAnswer(base::TimePoint sent, bool is_large) {
  const auto now = base::RuntimeClock::now();
  const bool was_away = m_health.IsAway(now);
  if (is_large) {
    m_health.OnLargeAnswer(now);
  } else {
    m_health.OnAnswer(now, now - sent);
  }
  if (was_away) {
    m_on_return();
  }
}

void ObservedStore::Commit(RowTransaction transaction,
                           std::function<void(RowCommitResult)> on_end) {
  const auto sent = base::RuntimeClock::now();
  m_health.OnSent(sent);
  m_store.Commit(
      std::move(transaction),
      [this, sent, on_end = std::move(on_end)](RowCommitResult result) {
        if (result.status == RowCommitStatus::kRefused) {
          m_health.OnTransactionRefused(base::RuntimeClock::now());
        } else if (result.status != RowCommitStatus::kUnknown) {
          m_health.OnTransaction(base::RuntimeClock::now() - sent);
          OnAnswer(sent);
        }
        on_end(std::move(result));
      });
}

void ObservedStore::Read(const RowRange& range,
                         std::function<void(RowReadResult)> on_end) {
  const auto sent = base::RuntimeClock::now();
  m_health.OnSent(sent);
  m_store.Read(range,
               [this, sent, on_end = std::move(on_end)](RowReadResult result) {
                 if (result.is_read) {
                   OnAnswer(sent, result.rows.size() > kMaxTimedRows);
                 }
                 on_end(std::move(result));
               });
}

// The store answers these calls only when there is a change, so they say
// nothing about its answer time or its absence.
void ObservedStore::ReadChanges(const std::string& table, uint64_t after,
                                std::chrono::milliseconds wait,
                                std::function<void(ChangeFeedResult)> on_end) {
  m_store.ReadChanges(table, after, wait, std::move(on_end));
}

}  // namespace shallotwick::storage
