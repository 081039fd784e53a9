#pragma once

#include <compare>
#include <string>

namespace shallotwick::hosts {

// The host capacity of a pool and its demand, as its owner publishes them to
// the owners of other pools.
struct CapacityDemand {
  // Hosts for work that can still meet its deadline, and for the forecast work.
  int timely = 0;
  // Hosts for all of the pool's work.
  int wanted = 0;
  int present = 0;
  // Hosts that short tasks keep busy at this moment, plus the hosts that
  // long-running tasks need in addition; 0 while no short task runs.
  int busy = 0;
  // Hosts about to undergo maintenance, which accept no new tasks.
  int reserved = 0;
  // Hosts without long-running tasks that may be transferred at this moment,
  // and those of them that run nothing.
  int movable = 0;
  int idle = 0;

  auto operator<=>(const CapacityDemand&) const = default;
};

std::string EncodeCapacityDemand(const CapacityDemand& record);
// Throws std::runtime_error if the text is not a valid record.
CapacityDemand DecodeCapacityDemand(const std::string& text);

// The load of a pool at one moment.
struct PoolLoad {
  // Cores of the running tasks, and of the tasks that could start now.
  double running_cores = 0;
  double waiting_cores = 0;
  // The part of the running cores that short tasks use.
  double short_running_cores = 0;
  // Cores of targets that accept new tasks, in use or not.
  double usable_cores = 0;
  // Remaining work of all unfinished tasks, in core-seconds.
  double remaining_core_seconds = 0;
  // Cores that arriving work is expected to use by the time that a host
  // activated now is available.
  double forecast_cores = 0;
  // The part of the waiting cores and of the remaining work that can still meet
  // its deadline.
  double on_schedule_waiting_cores = 0;
  double on_schedule_core_seconds = 0;
  // Cores of all long-running tasks, whether they run or wait.
  double long_running_cores = 0;
  // Hosts over which long-running tasks have to spread.
  int min_hosts = 0;
  double cores_per_host = 0;

  auto operator<=>(const PoolLoad&) const = default;
};

// Estimates how many hosts the pool's work keeps busy, as in `busy` of the
// pool's demand record.
int EstimateBusyHosts(const PoolLoad& load);

// Estimates how many hosts are needed for work that can still meet its
// deadline.
int EstimateOnScheduleHosts(const PoolLoad& load);

// Estimates how many hosts a pool should have: enough to finish the remaining
// work within the time that jobs can wait, to run everything that could run
// now, and to accept the forecast work.
int EstimateWantedHosts(const PoolLoad& load);

}  // namespace shallotwick::hosts
