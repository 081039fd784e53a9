#include "document/collision.h"

#include <algorithm>

namespace shallotwick::document {
namespace {

using Collisions = std::map<std::string, Collision>;

std::string JoinNames(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

void AddNameCollisions(
    const std::string& kind,
    const std::map<std::string, std::set<std::string>>& owners,
    Collisions* collisions) {
  for (const auto& [name, teams] : owners) {
    if (teams.size() < 2) {
      continue;
    }
    Collision collision;
    collision.subject = kind + " " + name;
    collision.teams = teams;
    collision.excess = static_cast<int>(teams.size()) - 1;
    collision.message =
        "the " + kind + " '" + name + "' is planned by " + JoinNames(teams);
    collision.remedy = "one of them gives up the name";
    (*collisions)[collision.subject] = collision;
  }
}

void FindDuplicateNames(const PlanningDocument& document,
                        Collisions* collisions) {
  std::map<std::string, std::set<std::string>> pools;
  std::map<std::string, std::set<std::string>> services;
  std::map<std::string, std::set<std::string>> waves;
  for (const auto& [team, accepted] : document.sections) {
    for (const PoolPlan& pool : accepted.section.pools) {
      pools[pool.name].insert(team);
    }
    for (const ServicePlan& service : accepted.section.services) {
      services[service.name].insert(team);
    }
    for (const WavePlan& wave : accepted.section.waves) {
      waves[wave.name].insert(team);
    }
  }
  AddNameCollisions("pool", pools, collisions);
  AddNameCollisions("service", services, collisions);
  AddNameCollisions("wave", waves, collisions);
}

// Returns the team that owns each pool, by pool name.
std::map<std::string, std::string> FindPoolOwners(
    const PlanningDocument& document) {
  std::map<std::string, std::string> owners;
  for (const auto& [team, accepted] : document.sections) {
    for (const PoolPlan& pool : accepted.section.pools) {
      owners.emplace(pool.name, team);
    }
  }
  return owners;
}

void FindOvercommitments(const PlanningDocument& document,
                         const FleetCapacity& facts, Collisions* collisions) {
  const EffectivePlan plan = MakeEffectivePlan(document);
  const auto owners = FindPoolOwners(document);
  std::map<std::string, int> promised;
  std::map<std::string, std::set<std::string>> teams;
  for (const PoolPlan& pool : plan.pools) {
    for (const auto& [data_centre, hosts] : pool.promise) {
      promised[data_centre] += hosts;
      if (hosts > 0) {
        teams[data_centre].insert(owners.at(pool.name));
      }
    }
  }
  for (const auto& [data_centre, hosts] : promised) {
    const auto found = facts.hosts.find(data_centre);
    const int host_count = found == facts.hosts.end() ? 0 : found->second;
    const int capacity =
        std::max(0, host_count - facts.reserve_per_data_centre);
    if (hosts <= capacity) {
      continue;
    }
    Collision collision;
    collision.subject = "capacity of " + data_centre;
    collision.teams = teams[data_centre];
    collision.excess = hosts - capacity;
    collision.message = "the promises in " + data_centre + " come to " +
                        std::to_string(hosts) + " hosts, with " +
                        std::to_string(capacity) + " to promise";
    collision.remedy =
        "promise " + std::to_string(collision.excess) + " fewer there";
    (*collisions)[collision.subject] = collision;
  }
}

struct OwnedWave {
  std::string team;
  const WavePlan* wave;
};

void FindWaveConflicts(const PlanningDocument& document,
                       Collisions* collisions) {
  const auto owners = FindPoolOwners(document);
  std::map<std::string, std::vector<OwnedWave>> waves_of_pool;
  for (const auto& [team, accepted] : document.sections) {
    for (const WavePlan& wave : accepted.section.waves) {
      for (const std::string& pool : wave.pools) {
        waves_of_pool[pool].push_back({team, &wave});
      }
    }
  }
  for (const auto& [pool, waves] : waves_of_pool) {
    for (size_t left = 0; left < waves.size(); ++left) {
      for (size_t right = left + 1; right < waves.size(); ++right) {
        const OwnedWave& one = waves[left];
        const OwnedWave& other = waves[right];
        const bool is_conflict = one.team != other.team &&
                                 Overlaps(one.wave->window, other.wave->window);
        if (!is_conflict) {
          continue;
        }
        Collision collision;
        collision.subject = "waves " + one.wave->name + " and " +
                            other.wave->name + " on pool " + pool;
        collision.teams = {one.team, other.team};
        collision.message =
            "the waves '" + one.wave->name + "' and '" + other.wave->name +
            "' would spend the budget of pool '" + pool + "' at the same time";
        collision.remedy = "give them windows that do not overlap";
        (*collisions)[collision.subject] = collision;
      }
    }
  }
}

void FindUndefinedPools(const PlanningDocument& document,
                        Collisions* collisions) {
  const auto owners = FindPoolOwners(document);
  for (const auto& [team, accepted] : document.sections) {
    std::set<std::string> used;
    for (const ServicePlan& service : accepted.section.services) {
      used.insert(service.pool);
    }
    for (const WavePlan& wave : accepted.section.waves) {
      used.insert(wave.pools.begin(), wave.pools.end());
    }
    for (const std::string& pool : used) {
      if (owners.count(pool) != 0) {
        continue;
      }
      Collision collision;
      collision.subject = "section " + team + " without pool " + pool;
      collision.teams = {team};
      collision.message = "section '" + team + "' uses the pool '" + pool +
                          "', which no section plans";
      collision.remedy = "plan the pool, or take it out of '" + team + "'";
      (*collisions)[collision.subject] = collision;
    }
  }
}

}  // namespace

Collisions FindCollisions(const PlanningDocument& document,
                          const FleetCapacity& facts) {
  Collisions collisions;
  FindDuplicateNames(document, &collisions);
  FindOvercommitments(document, facts, &collisions);
  FindWaveConflicts(document, &collisions);
  FindUndefinedPools(document, &collisions);
  return collisions;
}

std::vector<Collision> FindNewCollisions(const PlanningDocument& before,
                                         const PlanningDocument& after,
                                         const FleetCapacity& facts) {
  const Collisions previous = FindCollisions(before, facts);
  std::vector<Collision> new_collisions;
  for (const auto& [subject, collision] : FindCollisions(after, facts)) {
    const auto found = previous.find(subject);
    if (found == previous.end() || found->second.excess < collision.excess) {
      new_collisions.push_back(collision);
    }
  }
  return new_collisions;
}

}  // namespace shallotwick::document
