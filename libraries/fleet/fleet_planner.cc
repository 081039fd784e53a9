#include "fleet/fleet_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fleet/pool_census.h"

namespace shallotwick::fleet {
namespace {

using records::DrainPurpose;
using records::HostRecord;
using records::HostState;

class PlanningPass {
 public:
  PlanningPass(const FleetInput& input, const PlannerSettings& settings)
      : m_input(input),
        m_settings(settings),
        m_hosts(input.hosts),
        m_census(input.plan.pools, input.hosts) {}

  FleetPlan Run() {
    AddNewHosts();
    ApplyHostList();
    CompleteDrains();
    FillPools();
    ScheduleWaves();
    CollectReboots();
    return std::move(m_plan);
  }

 private:
  void AddTransition(const HostRecord& before, HostRecord after,
                     const std::string& reason) {
    m_census.Remove(before);
    m_census.Add(after);
    m_plan.transitions.push_back({after.name, before, after, reason});
    m_hosts[after.name] = std::move(after);
  }

  void AddRemoval(const HostRecord& before, const std::string& reason) {
    m_census.Remove(before);
    m_plan.transitions.push_back({before.name, before, std::nullopt, reason});
    m_hosts.erase(before.name);
  }

  std::vector<HostRecord> CopyHosts() const {
    std::vector<HostRecord> copy;
    copy.reserve(m_hosts.size());
    for (const auto& [name, host] : m_hosts) {
      copy.push_back(host);
    }
    return copy;
  }

  const storage::ListedHost* FindListed(const std::string& host) const {
    const auto found = m_input.listed.find(host);
    return found == m_input.listed.end() ? nullptr : &found->second;
  }

  // Returns how long the host has been in its current state, or zero if that is
  // not known.
  base::Duration GetTimeInState(const std::string& host) const {
    const auto found = m_input.state_entered_at.find(host);
    return found == m_input.state_entered_at.end()
               ? base::Duration::zero()
               : m_input.now - found->second;
  }

  void AddNewHosts() {
    for (const auto& [name, listed] : m_input.listed) {
      if (m_hosts.count(name) != 0 ||
          listed.status != storage::ListedStatus::kLive) {
        continue;
      }
      HostRecord host;
      host.name = name;
      host.address = listed.address;
      host.data_centre = listed.data_centre;
      host.rack = listed.rack;
      host.pool = m_settings.spare_pool;
      host.boot_id = listed.boot_id;
      m_census.Add(host);
      m_plan.transitions.push_back(
          {name, std::nullopt, host, "new in the host list"});
      m_hosts[name] = host;
    }
  }

  void ApplyHostList() {
    for (const HostRecord& host : CopyHosts()) {
      const storage::ListedHost* listed = FindListed(host.name);
      const bool is_live =
          listed != nullptr && listed->status == storage::ListedStatus::kLive;
      const bool is_leaving = listed != nullptr &&
                              listed->status == storage::ListedStatus::kLeaving;
      if (host.state == HostState::kRebooting) {
        HandleRebooting(host, listed, is_live);
      } else if (is_leaving) {
        HandleLeaving(host);
      } else if (is_live) {
        HandleLive(host, *listed);
      } else {
        HandleMissing(host);
      }
    }
  }

  void HandleRebooting(const HostRecord& host,
                       const storage::ListedHost* listed, bool is_live) {
    if (is_live && listed->boot_id != host.boot_id) {
      HostRecord after = MakeServing(host, *listed);
      after.maintained_by = host.wave;
      AddTransition(host, after, "reboot completed");
      return;
    }
    if (GetTimeInState(host.name) >= m_settings.reboot_timeout) {
      AddTransition(host, MakeFailed(host),
                    "reboot did not complete within the reboot limit");
    }
  }

  // The platform removes the host regardless of the pool's budget, so the drain
  // starts without a budget check.
  void HandleLeaving(const HostRecord& host) {
    if (host.state == HostState::kDraining &&
        host.purpose == DrainPurpose::kLeave) {
      return;
    }
    HostRecord after = MakeFailed(host);
    after.state = HostState::kDraining;
    after.purpose = DrainPurpose::kLeave;
    AddTransition(host, after, "host list reports the host as leaving");
  }

  void HandleLive(const HostRecord& host, const storage::ListedHost& listed) {
    const bool was_leaving = host.purpose == DrainPurpose::kLeave;
    if (host.state == HostState::kFailed || was_leaving) {
      AddTransition(host, MakeServing(host, listed),
                    "host list reports the host as live again");
      return;
    }
    const bool is_unchanged =
        host.boot_id == listed.boot_id && host.address == listed.address &&
        host.rack == listed.rack && host.data_centre == listed.data_centre;
    if (is_unchanged) {
      return;
    }
    HostRecord after = host;
    after.boot_id = listed.boot_id;
    after.address = listed.address;
    after.rack = listed.rack;
    after.data_centre = listed.data_centre;
    AddTransition(host, after, "host restarted or was replaced");
  }

  void HandleMissing(const HostRecord& host) {
    const bool is_unlisted = FindListed(host.name) == nullptr;
    if (host.state != HostState::kFailed) {
      AddTransition(host, MakeFailed(host),
                    is_unlisted ? "removed from the host list"
                                : "host list reports the host as dead");
      return;
    }
    if (is_unlisted && GetTimeInState(host.name) >= m_settings.removal_delay) {
      AddRemoval(host, "not listed for longer than the forget delay");
    }
  }

  static HostRecord MakeServing(const HostRecord& host,
                                const storage::ListedHost& listed) {
    HostRecord after = host;
    after.state = HostState::kServing;
    after.purpose = DrainPurpose::kNone;
    after.wave.clear();
    after.move_to.clear();
    after.boot_id = listed.boot_id;
    after.address = listed.address;
    after.rack = listed.rack;
    after.data_centre = listed.data_centre;
    return after;
  }

  static HostRecord MakeFailed(const HostRecord& host) {
    HostRecord after = host;
    after.state = HostState::kFailed;
    after.purpose = DrainPurpose::kNone;
    after.wave.clear();
    after.move_to.clear();
    return after;
  }

  void CompleteDrains() {
    for (const HostRecord& host : CopyHosts()) {
      const bool is_drained = host.state == HostState::kDraining &&
                              m_input.drained.count(host.name) != 0;
      if (!is_drained) {
        continue;
      }
      HostRecord after = host;
      if (host.purpose == DrainPurpose::kWave) {
        after.state = HostState::kRebooting;
        AddTransition(host, after, "drained for wave " + host.wave);
      } else if (host.purpose == DrainPurpose::kMove) {
        after.state = HostState::kServing;
        after.purpose = DrainPurpose::kNone;
        after.pool = host.move_to;
        after.move_to.clear();
        AddTransition(host, after, "drained for pool " + after.pool);
      }
    }
  }

  // Returns whether the host counts towards its pool's promise: it is serving,
  // or is expected to serve again after maintenance or a short failure.
  bool CountsTowardsPromise(const HostRecord& host) const {
    switch (host.state) {
      case HostState::kServing:
      case HostState::kRebooting:
        return true;
      case HostState::kDraining:
        return host.purpose == DrainPurpose::kWave;
      case HostState::kFailed:
        return GetTimeInState(host.name) < m_settings.replacement_delay;
    }
    return false;
  }

  using PoolLocation = std::pair<std::string, std::string>;

  std::map<PoolLocation, int> CountAssigned() const {
    std::map<PoolLocation, int> assigned;
    for (const auto& [name, host] : m_hosts) {
      if (CountsTowardsPromise(host)) {
        ++assigned[{host.pool, host.data_centre}];
      }
      if (host.purpose == DrainPurpose::kMove) {
        ++assigned[{host.move_to, host.data_centre}];
      }
    }
    return assigned;
  }

  void FillPools() {
    std::map<PoolLocation, int> assigned = CountAssigned();
    for (const document::PoolPlan& pool : m_input.plan.pools) {
      for (const auto& [data_centre, promised] : pool.promise) {
        const PoolLocation location{pool.name, data_centre};
        while (assigned[location] < promised) {
          const HostRecord* donor = FindDonor(location, assigned);
          if (donor == nullptr) {
            ReportShortfall(location, promised - assigned[location], assigned);
            break;
          }
          --assigned[{donor->pool, data_centre}];
          ++assigned[location];
          StartMove(*donor, pool.name);
        }
      }
    }
  }

  // Finds the best host to move to a pool. Prefers hosts of the spare pool to
  // surplus hosts of other pools, then the rack with the fewest hosts of the
  // receiving pool.
  const HostRecord* FindDonor(const PoolLocation& location,
                              std::map<PoolLocation, int>& assigned) const {
    const auto& [pool, data_centre] = location;
    const HostRecord* best = nullptr;
    std::tuple<bool, int> best_cost;
    for (const auto& [name, host] : m_hosts) {
      const bool is_candidate =
          host.data_centre == data_centre && host.pool != pool &&
          host.state == HostState::kServing &&
          assigned[{host.pool, data_centre}] >
              m_census.GetPromise(host.pool, data_centre) &&
          m_census.CanMakeUnavailable(host.pool, data_centre);
      if (!is_candidate) {
        continue;
      }
      const std::tuple<bool, int> cost{
          host.pool != m_settings.spare_pool,
          m_census.CountInRack(pool, data_centre, host.rack)};
      if (best == nullptr || cost < best_cost) {
        best = &host;
        best_cost = cost;
      }
    }
    return best;
  }

  void StartMove(const HostRecord& donor, const std::string& pool) {
    const HostRecord before = donor;
    HostRecord after = before;
    after.state = HostState::kDraining;
    after.purpose = DrainPurpose::kMove;
    after.move_to = pool;
    AddTransition(before, after,
                  "pool " + pool + " is short in " + before.data_centre);
  }

  // Shortages that the surplus of other pools can cover are not reported: those
  // moves are only waiting for an availability budget.
  void ReportShortfall(const PoolLocation& location, int missing,
                       const std::map<PoolLocation, int>& assigned) {
    int surplus = 0;
    for (const auto& [other, count] : assigned) {
      if (other.second == location.second && other.first != location.first) {
        surplus +=
            std::max(0, count - m_census.GetPromise(other.first, other.second));
      }
    }
    if (surplus >= missing) {
      return;
    }
    m_plan.shortfalls.push_back(
        {location.first, location.second, missing - surplus,
         "add " + std::to_string(missing - surplus) + " hosts in " +
             location.second + " or lower a promise there"});
  }

  void ScheduleWaves() {
    for (const document::WavePlan& wave : m_input.plan.waves) {
      if (document::Contains(wave.window, m_input.minute_of_day)) {
        ScheduleWave(wave);
      }
    }
  }

  void ScheduleWave(const document::WavePlan& wave) {
    int in_maintenance = 0;
    std::vector<const HostRecord*> candidates;
    for (const auto& [name, host] : m_hosts) {
      const bool is_covered = std::find(wave.pools.begin(), wave.pools.end(),
                                        host.pool) != wave.pools.end();
      if (host.wave == wave.name) {
        ++in_maintenance;
      } else if (is_covered && host.state == HostState::kServing &&
                 host.maintained_by != wave.name) {
        candidates.push_back(&host);
      }
    }
    SortByRemainingMaintenance(&candidates);
    for (const HostRecord* candidate : candidates) {
      if (in_maintenance >= wave.at_once) {
        return;
      }
      if (!m_census.CanMakeUnavailable(candidate->pool,
                                       candidate->data_centre)) {
        continue;
      }
      const HostRecord before = *candidate;
      HostRecord after = before;
      after.state = HostState::kDraining;
      after.purpose = DrainPurpose::kWave;
      after.wave = wave.name;
      AddTransition(before, after, "wave " + wave.name);
      ++in_maintenance;
    }
  }

  // Puts the hosts of the pool with the most hosts left to maintain first,
  // since that pool determines when the wave ends.
  static void SortByRemainingMaintenance(
      std::vector<const HostRecord*>* candidates) {
    std::map<std::string, int> remaining;
    for (const HostRecord* host : *candidates) {
      ++remaining[host->pool];
    }
    std::stable_sort(
        candidates->begin(), candidates->end(),
        [&remaining](const HostRecord* one, const HostRecord* other) {
          return remaining[one->pool] > remaining[other->pool];
        });
  }

  void CollectReboots() {
    for (const auto& [name, host] : m_hosts) {
      const storage::ListedHost* listed = FindListed(name);
      if (host.state == HostState::kRebooting && listed != nullptr &&
          listed->boot_id == host.boot_id) {
        m_plan.reboots.push_back(name);
      }
    }
  }

  const FleetInput& m_input;
  const PlannerSettings& m_settings;
  std::map<std::string, HostRecord> m_hosts;
  PoolCensus m_census;
  FleetPlan m_plan;
};

}  // namespace

FleetPlan PlanFleet(const FleetInput& input, const PlannerSettings& settings) {
  return PlanningPass(input, settings).Run();
}

}  // namespace shallotwick::fleet
