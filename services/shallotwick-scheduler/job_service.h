#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "scheduling/progress.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

enum class JobCallOutcome {
  kDone,
  kNotFound,
  // Nothing was changed; the caller may retry later.
  kRefused,
  // The request may or may not have taken effect.
  kUnknown,
};

// Accepts, looks up and cancels jobs. All results come from the store, so that
// any host can serve requests independently of the pool's owner.
class JobService {
 public:
  JobService(base::EventLoop& loop, storage::RowStore& store);

  // The store's steady clock in milliseconds, if known; used for the age of
  // queue reports.
  std::function<std::optional<int64_t>()> m_get_store_ms = [] {
    return std::nullopt;
  };

  using OnOutcome = std::function<void(JobCallOutcome)>;
  using OnState = std::function<void(JobCallOutcome, scheduling::JobState)>;
  using OnCount = std::function<void(JobCallOutcome, int64_t)>;

  // Adds the entries to a transaction that store a job, unless it is stored
  // already.
  static void AddSubmission(const std::string& service,
                            const scheduling::JobSpec& job,
                            storage::RowTransaction& transaction);
  // Stores a job; repeating the call has no further effect.
  void Submit(const std::string& service, const scheduling::JobSpec& job,
              OnOutcome on_done);
  // Searches the partitions of `services` in order: a route may have moved to
  // another service since the job was accepted.
  void FindState(const std::vector<std::string>& services,
                 const std::string& id, OnState on_done);
  void Cancel(const std::vector<std::string>& services, const std::string& id,
              OnOutcome on_done);
  // Counts the accepted jobs of a route of which no task has started. Uses the
  // owner's queue report or, if there is no fresh one, the progress rows of the
  // jobs.
  void CountQueued(const std::string& service, const std::string& route,
                   OnCount on_done);

 private:
  struct FoundJob;
  using OnFound = std::function<void(JobCallOutcome, const FoundJob&)>;

  void CountQueuedRows(const std::string& service, const std::string& route,
                       OnCount on_done);
  void TrySubmit(const std::string& service,
                 const storage::RowTransaction& transaction, int attempt,
                 OnOutcome on_done);
  void Find(std::vector<std::string> services, const std::string& id,
            int attempt, OnFound on_done);
  void TryCancel(const FoundJob& found, const std::string& id, int attempt,
                 OnOutcome on_done);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
