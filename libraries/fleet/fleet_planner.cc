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
    TakeInNewHosts();
    FollowHostList();
    AdvanceDrains();
    FillPools();
    RunWaves();
    CollectReboots();
    return std::move(m_plan);
  }

 private:
  void Change(const HostRecord& before, HostRecord after,
              const std::string& reason) {
    m_census.Remove(before);
    m_census.Add(after);
    m_plan.transitions.push_back({after.name, before, after, reason});
    m_hosts[after.name] = std::move(after);
  }

  void Forget(const HostRecord& before, const std::string& reason) {
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

  // How long the host has been in its present condition, as far as is known.
  base::Duration GetTimeInState(const std::string& host) const {
    const auto found = m_input.in_state_since.find(host);
    return found == m_input.in_state_since.end() ? base::Duration::zero()
                                                 : m_input.now - found->second;
  }

  void TakeInNewHosts() {
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

  void FollowHostList() {
    for (const HostRecord& host : CopyHosts()) {
      const storage::ListedHost* listed = FindListed(host.name);
      const bool is_live =
          listed != nullptr && listed->status == storage::ListedStatus::kLive;
      const bool is_leaving = listed != nullptr &&
                              listed->status == storage::ListedStatus::kLeaving;
      if (host.state == HostState::kRebooting) {
        FollowReboot(host, listed, is_live);
      } else if (is_leaving) {
        FollowLeaving(host);
      } else if (is_live) {
        FollowLive(host, *listed);
      } else {
        FollowMissing(host);
      }
    }
  }

  void FollowReboot(const HostRecord& host, const storage::ListedHost* listed,
                    bool is_live) {
    if (is_live && listed->boot_id != host.boot_id) {
      HostRecord after = MakeServing(host, *listed);
      after.maintained_by = host.wave;
      Change(host, after, "came back from its reboot");
      return;
    }
    if (GetTimeInState(host.name) >= m_settings.reboot_limit) {
      Change(host, MakeFailed(host), "did not come back from its reboot");
    }
  }

  // The platform takes the host away by itself, budget or not.
  void FollowLeaving(const HostRecord& host) {
    if (host.state == HostState::kDraining &&
        host.purpose == DrainPurpose::kLeave) {
      return;
    }
    HostRecord after = MakeFailed(host);
    after.state = HostState::kDraining;
    after.purpose = DrainPurpose::kLeave;
    Change(host, after, "leaves, says the host list");
  }

  void FollowLive(const HostRecord& host, const storage::ListedHost& listed) {
    const bool was_leaving = host.purpose == DrainPurpose::kLeave;
    if (host.state == HostState::kFailed || was_leaving) {
      Change(host, MakeServing(host, listed), "is live again");
      return;
    }
    const bool same =
        host.boot_id == listed.boot_id && host.address == listed.address &&
        host.rack == listed.rack && host.data_centre == listed.data_centre;
    if (same) {
      return;
    }
    HostRecord after = host;
    after.boot_id = listed.boot_id;
    after.address = listed.address;
    after.rack = listed.rack;
    after.data_centre = listed.data_centre;
    Change(host, after, "restarted or was replaced");
  }

  void FollowMissing(const HostRecord& host) {
    const bool is_unlisted = FindListed(host.name) == nullptr;
    if (host.state != HostState::kFailed) {
      Change(
          host, MakeFailed(host),
          is_unlisted ? "left the host list" : "is dead, says the host list");
      return;
    }
    if (is_unlisted && GetTimeInState(host.name) >= m_settings.forget_delay) {
      Forget(host, "not listed for long");
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

  void AdvanceDrains() {
    for (const HostRecord& host : CopyHosts()) {
      const bool is_drained = host.state == HostState::kDraining &&
                              m_input.drained.count(host.name) != 0;
      if (!is_drained) {
        continue;
      }
      HostRecord after = host;
      if (host.purpose == DrainPurpose::kWave) {
        after.state = HostState::kRebooting;
        Change(host, after, "drained for wave " + host.wave);
      } else if (host.purpose == DrainPurpose::kMove) {
        after.state = HostState::kServing;
        after.purpose = DrainPurpose::kNone;
        after.pool = host.move_to;
        after.move_to.clear();
        Change(host, after, "drained for pool " + after.pool);
      }
    }
  }

  // Whether the host counts towards its pool's promise: it serves, or will
  // again soon.
  bool CountsForPool(const HostRecord& host) const {
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

  using Place = std::pair<std::string, std::string>;

  std::map<Place, int> CountAssigned() const {
    std::map<Place, int> assigned;
    for (const auto& [name, host] : m_hosts) {
      if (CountsForPool(host)) {
        ++assigned[{host.pool, host.data_centre}];
      }
      if (host.purpose == DrainPurpose::kMove) {
        ++assigned[{host.move_to, host.data_centre}];
      }
    }
    return assigned;
  }

  void FillPools() {
    std::map<Place, int> assigned = CountAssigned();
    for (const document::PoolPlan& pool : m_input.plan.pools) {
      for (const auto& [data_centre, promised] : pool.promise) {
        const Place place{pool.name, data_centre};
        while (assigned[place] < promised) {
          const HostRecord* donor = FindDonor(place, assigned);
          if (donor == nullptr) {
            ReportShortfall(place, promised - assigned[place], assigned);
            break;
          }
          --assigned[{donor->pool, data_centre}];
          ++assigned[place];
          StartMove(*donor, pool.name);
        }
      }
    }
  }

  // Finds the best host to take for a pool: a spare one before a surplus one of
  // another pool, from the rack with the fewest hosts of the pool.
  const HostRecord* FindDonor(const Place& place,
                              std::map<Place, int>& assigned) const {
    const auto& [pool, data_centre] = place;
    const HostRecord* best = nullptr;
    std::tuple<bool, int> best_cost;
    for (const auto& [name, host] : m_hosts) {
      const bool is_candidate =
          host.data_centre == data_centre && host.pool != pool &&
          host.state == HostState::kServing &&
          assigned[{host.pool, data_centre}] >
              m_census.GetPromise(host.pool, data_centre) &&
          m_census.CanSpare(host.pool, data_centre);
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
    Change(before, after,
           "pool " + pool + " is short in " + before.data_centre);
  }

  // A shortage that only waits for a budget is none to report.
  void ReportShortfall(const Place& place, int missing,
                       const std::map<Place, int>& assigned) {
    int surplus = 0;
    for (const auto& [other, count] : assigned) {
      if (other.second == place.second && other.first != place.first) {
        surplus +=
            std::max(0, count - m_census.GetPromise(other.first, other.second));
      }
    }
    if (surplus >= missing) {
      return;
    }
    m_plan.shortfalls.push_back({place.first, place.second, missing - surplus,
                                 "add " + std::to_string(missing - surplus) +
                                     " hosts in " + place.second +
                                     " or lower a promise there"});
  }

  void RunWaves() {
    for (const document::WavePlan& wave : m_input.plan.waves) {
      if (document::Contains(wave.window, m_input.minute_of_day)) {
        RunWave(wave);
      }
    }
  }

  void RunWave(const document::WavePlan& wave) {
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
    SortForWave(&candidates);
    for (const HostRecord* candidate : candidates) {
      if (in_maintenance >= wave.at_once) {
        return;
      }
      if (!m_census.CanSpare(candidate->pool, candidate->data_centre)) {
        continue;
      }
      const HostRecord before = *candidate;
      HostRecord after = before;
      after.state = HostState::kDraining;
      after.purpose = DrainPurpose::kWave;
      after.wave = wave.name;
      Change(before, after, "wave " + wave.name);
      ++in_maintenance;
    }
  }

  // The pool with the most hosts left to maintain goes first: it sets the end
  // of the wave.
  static void SortForWave(std::vector<const HostRecord*>* candidates) {
    std::map<std::string, int> left;
    for (const HostRecord* host : *candidates) {
      ++left[host->pool];
    }
    std::stable_sort(candidates->begin(), candidates->end(),
                     [&left](const HostRecord* one, const HostRecord* other) {
                       return left[one->pool] > left[other->pool];
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
