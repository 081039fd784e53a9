#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "route_registry.h"
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
  // The store does not take the job; repeating the request does not help.
  kRejected,
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

  // Returns the condition under which a job of the route may be stored for the
  // service; std::nullopt if the service accepts none.
  std::function<std::optional<RouteFence>(const std::string& service,
                                          const std::string& route)>
      m_find_fence =
          [](const std::string&, const std::string&) { return RouteFence{}; };
  // Called when a job was not stored since its route has another service.
  std::function<void()> m_on_fenced = [] {};

  using OnOutcome = std::function<void(JobCallOutcome)>;
  using OnState = std::function<void(JobCallOutcome, scheduling::JobState)>;
  using OnCount = std::function<void(JobCallOutcome, int64_t)>;

  using OnFence =
      std::function<void(std::optional<JobCallOutcome>, const RouteFence&)>;

  // Adds the entries to a transaction that store a job, unless it is stored
  // already or the fence has failed.
  static void AddSubmission(const std::string& service,
                            const scheduling::JobSpec& job,
                            const RouteFence& fence,
                            storage::RowTransaction& transaction);
  // Returns the outcomes of submissions whose jobs a conflict shows as stored
  // for the service (kDone) or as withdrawn (kNotFound).
  static std::map<std::string, JobCallOutcome> FindStoredJobs(
      const std::string& service, const storage::RowCommitResult& result);
  // Gets the fence for storing a job, or the outcome if it must not be stored:
  // the service does not accept it, or a former service of the route has it.
  void PrepareSubmission(const std::string& service,
                         const scheduling::JobSpec& job, OnFence on_done);
  // Stores a job; repeating the call has no further effect. The outcome is
  // kNotFound if the job has been cancelled before: it will never run.
  void Submit(const std::string& service, const scheduling::JobSpec& job,
              OnOutcome on_done);
  // Searches the partitions of `services` in order: a route may have moved to
  // another service since the job was accepted.
  void FindState(const std::vector<std::string>& services,
                 const std::string& id, OnState on_done);
  // Cancels a job of the route, whose service is the first of `services`. A job
  // that is not stored is withdrawn: a submission of it that is still under way
  // will not be stored. The outcome is kNotFound once that is certain.
  void Cancel(const std::vector<std::string>& services,
              const std::string& route, const std::string& id,
              OnOutcome on_done);
  // Counts the accepted jobs of a route of which no task has started, at all
  // services that may have some. Uses the queue reports of the owners or, if
  // one of them is not fresh, the progress rows of the jobs. The outcome is
  // kRefused if one service cannot be read.
  void CountQueued(const std::vector<std::string>& services,
                   const std::string& route, OnCount on_done);

 private:
  struct FoundJob;
  struct Search {
    std::vector<std::string> services;
    int attempt = 1;
    int moves_followed = 0;
  };
  using OnFound = std::function<void(JobCallOutcome, const FoundJob&)>;

  // Adds up what the reports of the services say, from the one at `index` on.
  void AddReports(const std::vector<std::string>& services, size_t index,
                  const std::string& route, int64_t count, OnCount on_done);
  // Adds up the progress rows of the services up to the one at `index`.
  void AddRows(const std::vector<std::string>& services, size_t index,
               const std::string& route, int64_t count, OnCount on_done);
  void TrySubmit(const std::string& service, const std::string& id,
                 const storage::RowTransaction& transaction, int attempt,
                 OnOutcome on_done);
  // Searches the services in order, and follows the marks of jobs that have
  // moved.
  void Find(Search search, const std::string& id, OnFound on_done);
  // The outcome of a call for a job that `Find` has returned.
  static JobCallOutcome GetOutcome(JobCallOutcome outcome,
                                   const FoundJob& found);
  void CancelFound(const std::string& id, JobCallOutcome outcome,
                   const FoundJob& found, OnOutcome on_done);
  // `fence` is from before the search that has not found the job.
  void Withdraw(const std::string& service, const std::string& id,
                const std::optional<RouteFence>& fence, int attempt,
                OnOutcome on_done);
  // `may_be_cancelled`: an earlier attempt may have taken effect.
  void TryCancel(const FoundJob& found, const std::string& id, int attempt,
                 bool may_be_cancelled, OnOutcome on_done);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
