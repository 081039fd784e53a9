#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "job_service.h"
#include "scheduling/progress.h"

namespace shallotwick::scheduler {

// Finds the state of a job for a caller: in the store, or with the owner of the
// job's pool if the store fails or is slow.
class JobStateLookup {
 public:
  JobStateLookup(base::EventLoop& loop, JobService& jobs);

  using OnOwnerState = std::function<void(std::optional<scheduling::JobState>)>;

  // Whether the store is reachable; if not, only the owner is asked.
  std::function<bool()> m_is_store_reachable = [] { return true; };
  // Whether the store is slow; the owner is then asked first.
  std::function<bool()> m_is_store_slow = [] { return false; };
  // Asks the owner of a pool for the state of a job.
  std::function<void(const std::string& pool, const std::string& job,
                     OnOwnerState on_done)>
      m_ask_owner = [](const std::string&, const std::string&,
                       const OnOwnerState& on_done) { on_done(std::nullopt); };

  // `pools`: the pool of the job's route first, then all others.
  void Find(const std::vector<std::string>& pools, const std::string& job,
            JobService::OnState on_done);

 private:
  struct Lookup;

  void AskStore(const std::vector<std::string>& pools,
                const std::shared_ptr<Lookup>& lookup);
  // `on_unknown` is called if the owner does not know the state.
  void AskOwner(const std::shared_ptr<Lookup>& lookup,
                std::function<void()> on_unknown);

  base::EventLoop& m_loop;
  JobService& m_jobs;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
