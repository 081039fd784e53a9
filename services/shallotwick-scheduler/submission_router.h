#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "job_service.h"
#include "peer_client.h"
#include "routing/submission_path.h"
#include "scheduling/job.h"
#include "storage/store_health.h"
#include "submission_batcher.h"

namespace shallotwick::scheduler {

// Has accepted jobs stored on the path that is most likely to succeed.
class SubmissionRouter {
 public:
  SubmissionRouter(base::EventLoop& loop, storage::RowStore& store,
                   JobService& jobs, PeerClient& peers);

  struct Owner {
    bool is_self = false;
    // Empty if not known.
    std::string address;
  };

  std::function<const storage::StoreHealth&()> m_get_health;
  // Returns the owner of a pool as last known.
  std::function<Owner(const std::string& pool)> m_find_owner;

  // Returns whether a job of the pool can be stored on any path.
  bool CanSubmit(const std::string& pool) const;
  void Submit(const std::string& pool, const scheduling::JobSpec& job,
              JobService::OnOutcome on_done);
  // Stores a job that another host has handed over to this one, which it
  // considers the owner of the pool. Never passed on again.
  void SubmitForPeer(const std::string& pool, const scheduling::JobSpec& job,
                     JobService::OnOutcome on_done);

 private:
  routing::SubmissionPath ChoosePath(const std::string& pool) const;
  SubmissionBatcher& GetBatcher(const std::string& pool);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  JobService& m_jobs;
  PeerClient& m_peers;
  std::map<std::string, SubmissionBatcher> m_batchers;
  // Until when the owners of pools are not asked, after they refused a job.
  std::map<std::string, base::TimePoint> m_owner_refuses_until;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
