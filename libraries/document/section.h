#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotwick::document {

// The largest failure that a pool's promise must survive.
enum class SurvivedFailure { kNone, kHost, kRack };

// What a team asks of one pool.
struct PoolPlan {
  std::string name;
  // Hosts promised, by data centre.
  std::map<std::string, int> promise;
  // Promised hosts that may be unavailable at once, over all data centres.
  int budget = 0;
  SurvivedFailure survive = SurvivedFailure::kNone;

  auto operator<=>(const PoolPlan&) const = default;
};

struct ServicePlan {
  std::string name;
  std::string pool;
  // Limits of each executor, for all gateways together.
  int slots = 0;
  int connections = 0;
  int64_t deadline_milliseconds = 0;
  std::vector<std::string> idempotent_methods;

  auto operator<=>(const ServicePlan&) const = default;
};

// A part of the day in minutes since midnight UTC; may run over midnight. From
// equal to until means the whole day.
struct Window {
  int from_minute = 0;
  int until_minute = 0;

  auto operator<=>(const Window&) const = default;
};

bool Contains(const Window& window, int minute_of_day);
bool Overlaps(const Window& left, const Window& right);

// Maintenance of all hosts of some pools, each rebooted once.
struct WavePlan {
  std::string name;
  std::vector<std::string> pools;
  // Hosts in maintenance at once, over all its pools.
  int at_once = 1;
  Window window;

  auto operator<=>(const WavePlan&) const = default;
};

enum class RulingDecision { kAccept, kReject };

// The arbiter's word on a dispute. It names the text that was ruled on.
struct Ruling {
  std::string dispute;
  std::string digest;
  RulingDecision decision = RulingDecision::kReject;
  int line = 0;
  int column = 0;

  auto operator<=>(const Ruling&) const = default;
};

// A promise lowered by the arbiter, for as long as its section says so.
struct PromiseLimit {
  std::string pool;
  std::string data_centre;
  int hosts = 0;

  auto operator<=>(const PromiseLimit&) const = default;
};

// One team's part of the planning document.
struct Section {
  std::string team;
  std::vector<PoolPlan> pools;
  std::vector<ServicePlan> services;
  std::vector<WavePlan> waves;
  // Requests of the team that may run at once; 0 for no bound.
  int quota = 0;
  // Of the arbiter's section only.
  std::vector<Ruling> rulings;
  std::vector<PromiseLimit> limits;

  auto operator<=>(const Section&) const = default;
};

}  // namespace shallotwick::document
