#include "fleet_simulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace shallotwick::bench {
namespace {

using records::HostState;
using storage::ListedStatus;

constexpr auto kStep = std::chrono::seconds(30);
constexpr int kLongestSettle = 2'000;

std::string PoolName(int number) { return "pool-" + std::to_string(number); }

std::string DataCentreName(int number) {
  return "dc-" + std::to_string(number);
}

}  // namespace

FleetSimulation::FleetSimulation(const FleetShape& shape) {
  m_settings.spare_pool = "office";
  m_input.now = base::TimePoint(std::chrono::hours(1));
  ListHosts(shape);
  PromiseHosts(shape);
}

void FleetSimulation::ListHosts(const FleetShape& shape) {
  for (int number = 0; number < shape.hosts; ++number) {
    const int rack = number / shape.hosts_per_rack;
    storage::ListedHost host;
    host.name = "host-" + std::to_string(number);
    host.address = "10.0.0.1:8080";
    host.data_centre = DataCentreName(rack % shape.data_centres);
    host.rack = "rack-" + std::to_string(rack);
    host.boot_id = "1";
    m_input.listed[host.name] = host;
  }
}

void FleetSimulation::PromiseHosts(const FleetShape& shape) {
  std::map<std::string, int> there;
  for (const auto& [name, host] : m_input.listed) {
    ++there[host.data_centre];
  }
  for (int number = 0; number < shape.pools; ++number) {
    document::PoolPlan pool;
    pool.name = number == 0 ? "office" : PoolName(number);
    pool.survive = document::SurvivedFailure::kRack;
    int promised = 0;
    for (const auto& [data_centre, hosts] : there) {
      const auto available = static_cast<int>(hosts * (1 - shape.spare_part));
      const int share =
          available / shape.pools + (number < available % shape.pools ? 1 : 0);
      if (share > 0) {
        pool.promise[data_centre] = share;
        promised += share;
      }
    }
    pool.budget = std::max(1, static_cast<int>(promised * shape.budget_part));
    m_input.plan.pools.push_back(pool);
  }
}

fleet::FleetPlan FleetSimulation::Step(base::Duration advance) {
  m_input.now += advance;
  FollowTime();
  const auto started = std::chrono::steady_clock::now();
  fleet::FleetPlan plan = fleet::PlanFleet(m_input, m_settings);
  m_plan_seconds +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - started)
          .count();
  ++m_plans;
  for (const fleet::Transition& transition : plan.transitions) {
    const auto before = m_input.hosts.find(transition.host);
    if (before != m_input.hosts.end() &&
        before->second.pool != transition.after->pool) {
      ++m_moves;
    }
    const bool changes_state = before == m_input.hosts.end() ||
                               before->second.state != transition.after->state;
    if (changes_state) {
      m_input.state_entered_at[transition.host] = m_input.now;
    }
    if (transition.after->state == HostState::kDraining) {
      m_drain_ends[transition.host] = m_input.now + kDrainTime;
    }
    m_input.hosts[transition.host] = *transition.after;
  }
  for (const std::string& host : plan.reboots) {
    m_input.listed.at(host).status = ListedStatus::kDead;
    m_reboot_ends.emplace(host, m_input.now + kRebootTime);
  }
  m_input.drained.clear();
  return plan;
}

void FleetSimulation::FollowTime() {
  std::erase_if(m_drain_ends, [this](const auto& entry) {
    if (entry.second > m_input.now) {
      return false;
    }
    m_input.drained.insert(entry.first);
    return true;
  });
  for (auto* ends : {&m_reboot_ends, &m_repair_ends}) {
    std::erase_if(*ends, [this](const auto& entry) {
      if (entry.second > m_input.now) {
        return false;
      }
      storage::ListedHost& host = m_input.listed.at(entry.first);
      host.status = ListedStatus::kLive;
      host.boot_id += "+";
      return true;
    });
  }
}

void FleetSimulation::Settle() {
  for (int step = 0; step < kLongestSettle; ++step) {
    const bool changed = !Step(kStep).transitions.empty();
    if (!changed && m_drain_ends.empty() && m_reboot_ends.empty()) {
      return;
    }
  }
}

void FleetSimulation::FailSome(int failures_a_day, base::Duration step) {
  m_failures_due +=
      failures_a_day * std::chrono::duration<double>(step).count() /
      std::chrono::duration<double>(std::chrono::hours(24)).count();
  while (m_failures_due >= 1) {
    m_failures_due -= 1;
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    auto host = m_input.listed.begin();
    std::advance(host, (m_random >> 33) % m_input.listed.size());
    if (host->second.status == ListedStatus::kLive) {
      host->second.status = ListedStatus::kDead;
      m_repair_ends[host->first] = m_input.now + kRepairTime;
    }
  }
}

base::Duration FleetSimulation::RunWave(const std::string& wave,
                                        int failures_a_day) {
  const base::TimePoint started = m_input.now;
  document::WavePlan plan;
  plan.name = wave;
  plan.at_once = static_cast<int>(m_input.listed.size());
  for (const document::PoolPlan& pool : m_input.plan.pools) {
    plan.pools.push_back(pool.name);
  }
  m_input.plan.waves = {plan};
  // A host that is away for a repair when the wave ends is maintained by it.
  const auto is_left = [&](const auto& entry) {
    return entry.second.maintained_by != wave &&
           entry.second.state != HostState::kFailed;
  };
  do {
    FailSome(failures_a_day, kStep);
    Step(kStep);
  } while (std::any_of(m_input.hosts.begin(), m_input.hosts.end(), is_left) &&
           m_input.now - started < std::chrono::hours(24 * 14));
  m_input.plan.waves.clear();
  return m_input.now - started;
}

base::Duration FleetSimulation::GetWaveBound() const {
  // Each host of a pool takes a drain, a reboot and the steps that notice them;
  // so many as the budget allows run at once, and surplus hosts besides.
  std::map<std::string, int> hosts;
  for (const auto& [name, host] : m_input.hosts) {
    ++hosts[host.pool];
  }
  base::Duration bound = base::Duration::zero();
  for (const document::PoolPlan& pool : m_input.plan.pools) {
    int promised = 0;
    for (const auto& [data_centre, count] : pool.promise) {
      promised += count;
    }
    const int at_once = std::max(1, pool.budget + hosts[pool.name] - promised);
    const int rounds = (hosts[pool.name] + at_once - 1) / at_once;
    bound = std::max<base::Duration>(
        bound, rounds * base::Duration(kDrainTime + kRebootTime));
  }
  return bound;
}

void FleetSimulation::ShiftPromise(const std::string& from,
                                   const std::string& to, int hosts,
                                   const std::string& data_centre) {
  for (document::PoolPlan& pool : m_input.plan.pools) {
    if (pool.name == from) {
      pool.promise[data_centre] -= hosts;
    } else if (pool.name == to) {
      pool.promise[data_centre] += hosts;
    }
  }
}

}  // namespace shallotwick::bench
