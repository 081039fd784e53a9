#include "submission_router.h"

#include <utility>

namespace shallotwick::scheduler {
namespace {

// An owner that has refused a job will most likely refuse the next one too.
constexpr auto kOwnerRefusalTime = std::chrono::milliseconds(500);

}  // namespace

SubmissionRouter::SubmissionRouter(base::EventLoop& loop,
                                   storage::RowStore& store, JobService& jobs,
                                   PeerClient& peers)
    : m_loop(loop), m_store(store), m_jobs(jobs), m_peers(peers) {}

routing::SubmissionPath SubmissionRouter::ChoosePath(
    const std::string& pool) const {
  const auto now = base::RuntimeClock::now();
  const storage::StoreHealth& health = m_get_health();
  const Owner owner = m_find_owner(pool);
  const auto refusal = m_owner_refuses_until.find(pool);
  routing::SubmissionRoutes routes;
  routes.is_store_away = health.IsAway(now);
  routes.is_store_slow = health.IsSlow();
  routes.is_owner = owner.is_self;
  routes.is_owner_known = !owner.address.empty();
  routes.is_owner_refusing =
      refusal != m_owner_refuses_until.end() && now < refusal->second;
  return routing::ChooseSubmissionPath(routes);
}

bool SubmissionRouter::CanSubmit(const std::string& pool) const {
  return ChoosePath(pool) != routing::SubmissionPath::kNone;
}

SubmissionBatcher& SubmissionRouter::GetBatcher(const std::string& pool) {
  return m_batchers.try_emplace(pool, m_loop, m_store, m_jobs, pool)
      .first->second;
}

void SubmissionRouter::Submit(const std::string& pool,
                              const scheduling::JobSpec& job,
                              JobService::OnOutcome on_done) {
  switch (ChoosePath(pool)) {
    case routing::SubmissionPath::kStore:
      m_jobs.Submit(pool, job, std::move(on_done));
      return;
    case routing::SubmissionPath::kOwnBatch:
      GetBatcher(pool).Submit(job, std::move(on_done));
      return;
    case routing::SubmissionPath::kOwner:
      m_peers.Submit(
          m_find_owner(pool).address, pool, job,
          m_lifetime.Guard([this, pool, on_done = std::move(on_done)](
                               JobCallOutcome outcome) {
            if (outcome == JobCallOutcome::kRefused) {
              m_owner_refuses_until[pool] =
                  base::RuntimeClock::now() + kOwnerRefusalTime;
            }
            on_done(outcome);
          }));
      return;
    case routing::SubmissionPath::kNone:
      on_done(JobCallOutcome::kRefused);
      return;
  }
}

void SubmissionRouter::SubmitForPeer(const std::string& pool,
                                     const scheduling::JobSpec& job,
                                     JobService::OnOutcome on_done) {
  if (m_get_health().IsAway(base::RuntimeClock::now())) {
    on_done(JobCallOutcome::kRefused);
    return;
  }
  GetBatcher(pool).Submit(job, std::move(on_done));
}

}  // namespace shallotwick::scheduler
