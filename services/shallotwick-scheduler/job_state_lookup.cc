#include "job_state_lookup.h"

#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

// The store answers within a few milliseconds. Callers ask often, and the owner
// of a busy pool should not be asked for all of them.
constexpr auto kOwnerAskDelay = std::chrono::milliseconds(150);

}  // namespace

struct JobStateLookup::Lookup {
  std::string pool;
  std::string job;
  JobService::OnState on_done;
  bool has_store_failed = false;
  bool is_owner_asked = false;
  bool is_owner_pending = false;

  void FinishByOwner(scheduling::JobState state) {
    if (on_done && scheduling::IsTerminal(state)) {
      base::Log(
          base::events::kJobEndRelayed,
          {{"pool", pool}, {"job", job}, {"state", scheduling::NameOf(state)}});
    }
    Finish(JobCallOutcome::kDone, state);
  }
  void Finish(JobCallOutcome outcome, scheduling::JobState state) {
    if (on_done) {
      std::exchange(on_done, nullptr)(outcome, state);
    }
  }
};

JobStateLookup::JobStateLookup(base::EventLoop& loop, JobService& jobs)
    : m_loop(loop), m_jobs(jobs) {}

void JobStateLookup::Find(const std::vector<std::string>& pools,
                          const std::string& job, JobService::OnState on_done) {
  auto lookup = std::make_shared<Lookup>();
  lookup->pool = pools.front();
  lookup->job = job;
  lookup->on_done = std::move(on_done);
  if (!m_is_store_reachable()) {
    lookup->has_store_failed = true;
    AskOwner(lookup, [] {});
  } else if (m_is_store_slow()) {
    AskOwner(lookup, [this, pools, lookup] { AskStore(pools, lookup); });
  } else {
    AskStore(pools, lookup);
    m_loop.RunAfter(kOwnerAskDelay, m_lifetime.Guard([this, lookup] {
      if (lookup->on_done && !lookup->is_owner_asked) {
        AskOwner(lookup, [] {});
      }
    }));
  }
}

void JobStateLookup::AskStore(const std::vector<std::string>& pools,
                              const std::shared_ptr<Lookup>& lookup) {
  m_jobs.FindState(
      pools, lookup->job,
      [this, lookup](JobCallOutcome outcome, scheduling::JobState state) {
        const bool is_answered = outcome == JobCallOutcome::kDone ||
                                 outcome == JobCallOutcome::kNotFound;
        if (is_answered) {
          lookup->Finish(outcome, state);
          return;
        }
        lookup->has_store_failed = true;
        if (!lookup->is_owner_asked) {
          AskOwner(lookup, [] {});
        } else if (!lookup->is_owner_pending) {
          lookup->Finish(JobCallOutcome::kRefused, {});
        }
      });
}

void JobStateLookup::AskOwner(const std::shared_ptr<Lookup>& lookup,
                              std::function<void()> on_unknown) {
  lookup->is_owner_asked = true;
  lookup->is_owner_pending = true;
  m_ask_owner(lookup->pool, lookup->job,
              m_lifetime.Guard([lookup, on_unknown = std::move(on_unknown)](
                                   std::optional<scheduling::JobState> state) {
                lookup->is_owner_pending = false;
                if (state) {
                  lookup->FinishByOwner(*state);
                } else if (lookup->has_store_failed) {
                  lookup->Finish(JobCallOutcome::kRefused, {});
                } else {
                  on_unknown();
                }
              }));
}

}  // namespace shallotwick::scheduler
