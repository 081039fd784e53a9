#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotwick::document {

// The largest failure that a pool's promise must survive.
enum class SurvivedFailure { kNone, kHost, kRack };

// A team's requirements for one pool.
struct PoolPlan {
  std::string name;
  // Promised hosts, by data centre.
  std::map<std::string, int> promise;
  // Max promised hosts that may be unavailable at the same time, over all data
  // centres.
  int budget = 0;
  SurvivedFailure survive = SurvivedFailure::kNone;

  auto operator<=>(const PoolPlan&) const = default;
};

struct ServicePlan {
  std::string name;
  std::string pool;
  // Limits of each executor, shared by all gateways.
  int slots = 0;
  int connections = 0;
  int64_t deadline_milliseconds = 0;
  std::vector<std::string> idempotent_methods;

  auto operator<=>(const ServicePlan&) const = default;
};

// A period of the day in minutes since midnight UTC, which may span midnight.
// If `from_minute` equals `until_minute`, the window covers the whole day.
struct Window {
  int from_minute = 0;
  int until_minute = 0;

  auto operator<=>(const Window&) const = default;
};

bool Contains(const Window& window, int minute_of_day);
bool Overlaps(const Window& left, const Window& right);

// A maintenance wave over all hosts of some pools; each host is rebooted once.
struct WavePlan {
  std::string name;
  std::vector<std::string> pools;
  // Max hosts in maintenance at the same time, over all pools of the wave.
  int at_once = 1;
  Window window;

  auto operator<=>(const WavePlan&) const = default;
};

enum class RulingDecision { kAccept, kReject };

// The arbiter's decision on a dispute. The digest identifies the text that the
// decision applies to.
struct Ruling {
  std::string dispute;
  std::string digest;
  RulingDecision decision = RulingDecision::kReject;
  int line = 0;
  int column = 0;

  auto operator<=>(const Ruling&) const = default;
};

// A limit that the arbiter places on a pool's promise. It applies as long as
// the arbiter's section contains it.
struct PromiseLimit {
  std::string pool;
  std::string data_centre;
  int hosts = 0;

  auto operator<=>(const PromiseLimit&) const = default;
};

// One team's section of the planning document.
struct Section {
  std::string team;
  std::vector<PoolPlan> pools;
  std::vector<ServicePlan> services;
  std::vector<WavePlan> waves;
  // Max concurrent requests of the team; 0 means no limit.
  int quota = 0;
  // Allowed in the arbiter's section only.
  std::vector<Ruling> rulings;
  std::vector<PromiseLimit> limits;

  auto operator<=>(const Section&) const = default;
};

}  // namespace shallotwick::document
