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
  // Nothing was done; the caller may come back later.
  kRefused,
  // It may have been done.
  kUnknown,
};

// Accepts, shows and cancels jobs. All answers come from the store, so that any
// host can give them and none depends on the pool's owner.
class JobService {
 public:
  JobService(base::EventLoop& loop, storage::RowStore& store);

  // The store's steady clock, if it is known; tells the age of reports.
  std::function<std::optional<int64_t>()> m_get_store_ms = [] {
    return std::nullopt;
  };

  using OnOutcome = std::function<void(JobCallOutcome)>;
  using OnState = std::function<void(JobCallOutcome, scheduling::JobState)>;
  using OnCount = std::function<void(JobCallOutcome, int64_t)>;

  // Stores a job; doing so again has no further effect.
  void Submit(const std::string& service, const scheduling::JobSpec& job,
              OnOutcome on_end);
  // Looks in the parts of `services` in turn: a route may have changed its
  // service since the job was accepted.
  void FindState(const std::vector<std::string>& services,
                 const std::string& id, OnState on_end);
  void Cancel(const std::vector<std::string>& services, const std::string& id,
              OnOutcome on_end);
  // Counts the accepted jobs of a route of which no task has started, by the
  // owner's report or, without a fresh one, by the jobs' own rows.
  void CountQueued(const std::string& service, const std::string& route,
                   OnCount on_end);

 private:
  struct Found;
  using OnFound = std::function<void(JobCallOutcome, const Found&)>;

  void CountRows(const std::string& service, const std::string& route,
                 OnCount on_end);
  void TrySubmit(const std::string& service,
                 const storage::RowTransaction& transaction, int attempt,
                 OnOutcome on_end);
  void Find(std::vector<std::string> services, const std::string& id,
            int attempt, OnFound on_end);
  void TryCancel(const Found& found, const std::string& id, int attempt,
                 OnOutcome on_end);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
