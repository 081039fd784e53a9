#pragma once

#include <chrono>
#include <cstdint>

#include "base/runtime_clock.h"

namespace shallotwick::storage {

// Judges from the calls to a store whether it answers. A slow store still
// answers, so the judgement allows for the answer times observed.
class StoreHealth {
 public:
  void OnSent(base::TimePoint now);
  // A call sent at `sent` was carried out. `answer_time` excludes the time for
  // which the store was asked to wait.
  void OnAnswer(base::TimePoint now, base::Duration answer_time);
  // A call was carried out whose answer is so large that its time depends on
  // the link.
  void OnLargeAnswer(base::TimePoint now);
  // A transaction was answered after `time`. Lost answers say nothing about the
  // time that transactions take.
  void OnTransaction(base::Duration time);
  // A transaction was refused. Unless the store is away, too many others wait
  // before it.
  void OnTransactionRefused(base::TimePoint now);

  // Returns whether calls have gone unanswered or were refused for longer than
  // an answer takes, so that the next call would most likely fail too.
  bool IsAway(base::TimePoint now) const;
  // Returns whether the store answers, but takes much longer for transactions
  // than it has shown to need.
  bool IsSlow() const;
  // Returns how long to wait for an answer; at least `min`. Transactions that
  // are given up too early are carried out all the same, and their repetitions
  // keep the store slow.
  std::chrono::milliseconds GetTimeout(std::chrono::milliseconds min) const;
  // Returns how long the store has been away; zero if it is not.
  base::Duration GetOutageAge(base::TimePoint now) const;

 private:
  bool m_has_answered = false;
  base::TimePoint m_last_answer;
  // When the first call was sent after the last answer; a later answer resets
  // it.
  bool m_is_waiting = false;
  base::TimePoint m_waiting_since;
  // Moving averages.
  base::Duration m_answer_time{0};
  base::Duration m_transaction_time{0};
  // The lowest average so far.
  base::Duration m_best_transaction_time{base::Duration::max()};
};

// Returns after how many whole seconds a client that is refused now should come
// back. An outage is expected to last about as long again as it has lasted, so
// clients come back more often than that. The fraction is rounded up at random,
// by `jitter` in [0, 1), so that clients that were refused together do not
// return together.
int64_t GetRetryAfterSeconds(base::Duration outage_age, double jitter);

}  // namespace shallotwick::storage
