#pragma once

#include <map>
#include <set>
#include <string>

#include "fleet/fleet_planner.h"

namespace shallotwick::bench {

// Sizes of a fleet to simulate.
struct FleetShape {
  int hosts = 50;
  int pools = 5;
  int data_centres = 3;
  int hosts_per_rack = 4;
  // Part of the hosts that the pools are not promised.
  double spare_part = 0.16;
  // Promised hosts of a pool that may be unavailable at once, as a part; at
  // least one.
  double budget_part = 0.1;
};

// A fleet that plans are carried out on in simulated time, without any I/O.
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetShape& shape);

  // Plans once and carries the plan out. Draining takes `drain_time`, a reboot
  // `reboot_time`.
  fleet::FleetPlan Step(base::Duration advance);
  // Steps until nothing is to be done.
  void Settle();

  // Runs a wave over all pools. Returns its duration.
  base::Duration RunWave(const std::string& wave, int failures_a_day);
  // The shortest time that the budgets allow for a wave.
  base::Duration GetWaveBound() const;

  // Moves `hosts` promised hosts from one pool to another.
  void ShiftPromise(const std::string& from, const std::string& to, int hosts,
                    const std::string& data_centre);

  int GetMoves() const { return m_moves; }
  const fleet::FleetInput& GetInput() const { return m_input; }
  fleet::FleetInput& GetInput() { return m_input; }
  double GetPlanSeconds() const { return m_plan_seconds; }
  int GetPlans() const { return m_plans; }

  static constexpr auto kDrainTime = std::chrono::seconds(30);
  static constexpr auto kRebootTime = std::chrono::minutes(5);
  static constexpr auto kRepairTime = std::chrono::hours(2);

 private:
  void ListHosts(const FleetShape& shape);
  void PromiseHosts(const FleetShape& shape);
  void FollowTime();
  void FailSome(int failures_a_day, base::Duration step);

  fleet::FleetInput m_input;
  fleet::PlannerSettings m_settings;
  std::map<std::string, base::TimePoint> m_drain_ends;
  std::map<std::string, base::TimePoint> m_reboot_ends;
  std::map<std::string, base::TimePoint> m_repair_ends;
  double m_failures_due = 0;
  uint64_t m_random = 20261204;
  int m_moves = 0;
  int m_plans = 0;
  double m_plan_seconds = 0;
};

}  // namespace shallotwick::bench
