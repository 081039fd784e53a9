#include "storage/store_health.h"

#include <algorithm>
#include <cmath>

namespace shallotwick::storage {
namespace {

// Several calls of a host fall into this time, even of a host without pools.
constexpr auto kMinSilence = std::chrono::milliseconds(700);
// A store is slow if transactions take this many times longer than they have
// taken before, and long enough to matter.
constexpr int kSlowFactor = 4;
constexpr auto kMinSlowTime = std::chrono::milliseconds(60);
// A store refuses transactions that would have to wait for longer.
constexpr auto kMaxQueueTime = std::chrono::milliseconds(1'000);
// Most hosts send only one or two transactions a second.
constexpr double kNewestTransactionWeight = 1.0 / 2;
// Callers wait for three seconds.
constexpr auto kMaxTimeout = std::chrono::milliseconds(2'000);
// Answer times vary by about this factor while a store is slow.
constexpr int kMaxAnswerFactor = 6;
constexpr double kNewestWeight = 1.0 / 8;
// The fraction of the outage's age after which clients come back.
constexpr double kRetryFraction = 0.5;
constexpr double kMinRetrySeconds = 1;
// Clients have a limited number of attempts, but waiting for longer than this
// would make nearly all of their jobs late.
constexpr double kMaxRetrySeconds = 5;

}  // namespace

void StoreHealth::OnSent(base::TimePoint now) {
  if (!m_is_waiting) {
    m_is_waiting = true;
    m_waiting_since = now;
  }
}

void StoreHealth::OnAnswer(base::TimePoint now, base::Duration answer_time) {
  m_last_answer = now;
  m_is_waiting = false;
  if (!m_has_answered) {
    m_answer_time = answer_time;
  }
  m_answer_time += std::chrono::duration_cast<base::Duration>(
      kNewestWeight * (answer_time - m_answer_time));
  m_has_answered = true;
}

void StoreHealth::OnLargeAnswer(base::TimePoint now) {
  m_last_answer = now;
  m_is_waiting = false;
  m_has_answered = true;
}

bool StoreHealth::IsAway(base::TimePoint now) const {
  const base::Duration max_silence =
      std::max<base::Duration>(kMinSilence, kMaxAnswerFactor * m_answer_time);
  return !m_has_answered ||
         (m_is_waiting && now >= m_waiting_since + max_silence);
}

void StoreHealth::OnTransaction(base::Duration time) {
  if (m_best_transaction_time == base::Duration::max()) {
    m_transaction_time = time;
  }
  m_transaction_time += std::chrono::duration_cast<base::Duration>(
      kNewestTransactionWeight * (time - m_transaction_time));
  m_best_transaction_time =
      std::min(m_best_transaction_time, m_transaction_time);
}

void StoreHealth::OnTransactionRefused(base::TimePoint now) {
  if (!IsAway(now)) {
    OnTransaction(kMaxQueueTime);
  }
}

bool StoreHealth::IsSlow() const {
  return m_transaction_time >= kMinSlowTime &&
         m_transaction_time / kSlowFactor >= m_best_transaction_time;
}

std::chrono::milliseconds StoreHealth::GetTimeout(
    std::chrono::milliseconds min) const {
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      kMaxAnswerFactor * std::max(m_answer_time, m_transaction_time));
  return std::clamp(timeout, min,
                    std::max<std::chrono::milliseconds>(min, kMaxTimeout));
}

base::Duration StoreHealth::GetOutageAge(base::TimePoint now) const {
  return m_has_answered && IsAway(now) ? now - m_last_answer
                                       : base::Duration(0);
}

int64_t GetRetryAfterSeconds(base::Duration outage_age, double jitter) {
  const double age = std::chrono::duration<double>(outage_age).count();
  const double seconds =
      std::clamp(kRetryFraction * age, kMinRetrySeconds, kMaxRetrySeconds);
  return static_cast<int64_t>(std::floor(seconds + jitter));
}

}  // namespace shallotwick::storage
