// What the customers of the pool's jobs use of their limits.

#include <algorithm>
#include <utility>

#include "scheduling/pool_scheduler.h"

namespace shallotwick::scheduling {
namespace {

// The capacity of a target that the registry does not list.
constexpr Resources kUnknownCapacity{int64_t{1} << 50, int64_t{1} << 50,
                                     int64_t{1} << 50};

}  // namespace

void PoolScheduler::SetCustomers(const customers::CustomerRegistry& customers) {
  m_arrival_rates.SetCustomers(customers);
  m_customer_budget.SetCustomers(customers);
}

void PoolScheduler::SetCustomerAllowances(
    const std::map<std::string, customers::Allowance>& allowances) {
  m_customer_budget.SetAllowances(allowances);
  m_may_start_more = true;
}

// A load of the pool adds jobs by their names.
void PoolScheduler::CountArrivals() {
  std::vector<ActiveJob*> jobs;
  for (const std::string& id : std::exchange(m_uncounted_jobs, {})) {
    ActiveJob* job = FindJob(id);
    if (job != nullptr) {
      jobs.push_back(job);
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const ActiveJob* left, const ActiveJob* right) {
              return left->GetSpec().accepted_ms < right->GetSpec().accepted_ms;
            });
  for (ActiveJob* job : jobs) {
    job->m_is_excess = m_arrival_rates.IsExcess(job->GetSpec().customer,
                                                job->GetSpec().accepted_ms);
  }
}

void PoolScheduler::CountCustomerUse(base::TimePoint now) {
  m_customer_budget.BeginPass();
  if (!m_customer_budget.IsNeeded()) {
    return;
  }
  Resources capacity;
  for (const auto& [id, target] : m_targets) {
    if (target.m_is_registered) {
      capacity = capacity + target.m_entry.capacity;
    }
    for (const auto& [name, run] : target.GetRuns()) {
      m_customer_budget.AddUse(run.customer, run.demand);
    }
  }
  for (const auto& [id, job] : m_jobs) {
    m_customer_budget.AddJob(job.m_customer);
  }
  CountPossibleCustomerUse(now);
  m_customer_budget.DividePool(capacity);
}

// Until a target of the roster has answered or its lease has ended, it may run
// any task that a former owner may have started.
void PoolScheduler::CountPossibleCustomerUse(base::TimePoint now) {
  Resources unknown;
  for (const auto& [id, target] : m_targets) {
    if (!target.m_has_answered_owner && target.GetLeaseBound() > now) {
      const bool is_listed = target.m_entry.capacity != Resources{};
      unknown =
          unknown + (is_listed ? target.m_entry.capacity : kUnknownCapacity);
    }
  }
  if (unknown == Resources{}) {
    return;
  }
  for (auto& [id, job] : m_jobs) {
    const JobSpec& spec = job.GetSpec();
    if (!job.m_predates_ownership || job.CountUnassigned() == 0) {
      continue;
    }
    for (int k = 0; k < spec.GetOccurrenceCount(); ++k) {
      for (int i = 0; i < static_cast<int>(spec.steps.size()); ++i) {
        if (!job.IsStepReady(k, i)) {
          continue;
        }
        const auto waiting = ListWaitingTasks(job, {k, i}).size();
        for (size_t task = 0; task < waiting; ++task) {
          m_customer_budget.AddPossibleUse(
              job.m_customer, spec.steps[static_cast<size_t>(i)].demand);
        }
      }
    }
  }
  m_customer_budget.LimitPossibleUse(unknown);
}

}  // namespace shallotwick::scheduling
