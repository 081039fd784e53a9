#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotwick::hosts {

// What a pool has and wants, as its owner tells the others.
struct NeedRecord {
  // Hosts for work that can still be in time, and for what is about to come.
  int timely = 0;
  // Hosts for all its work.
  int wanted = 0;
  int present = 0;
  // Hosts that its short tasks keep busy at this moment, and those that tasks
  // which last need beside them; 0 while it runs no short task.
  int busy = 0;
  // Hosts on their way to it: by host the pool that it comes from.
  std::map<std::string, std::string> offers;

  int CountCovered() const { return present + static_cast<int>(offers.size()); }
  int CountUnmet() const { return wanted - CountCovered(); }

  auto operator<=>(const NeedRecord&) const = default;
};

// How many hosts each pool should have for work that can be in time. If all
// together want more than `hosts`, each gets its share.
std::map<std::string, int> ShareHosts(
    const std::map<std::string, NeedRecord>& needs, int hosts);

std::string EncodeNeedRecord(const NeedRecord& record);
// Throws std::runtime_error if the text is not a record.
NeedRecord DecodeNeedRecord(const std::string& text);

// What is known of a pool's load at one moment.
struct PoolLoad {
  // Cores of the tasks that run, and of those that could start now.
  double running_cores = 0;
  double waiting_cores = 0;
  // The part of the running cores that short tasks use.
  double short_running_cores = 0;
  // Cores of targets that take new tasks, in use or not.
  double usable_cores = 0;
  // Work of all that is not done yet, in core-seconds.
  double open_core_seconds = 0;
  // What arriving work will keep busy once a host that is called now is there.
  double forecast_cores = 0;
  // The part of these that can still be in time.
  double timely_waiting_cores = 0;
  double timely_core_seconds = 0;
  // Hosts that tasks which last need for themselves.
  int least_hosts = 0;
  double cores_per_host = 0;

  auto operator<=>(const PoolLoad&) const = default;
};

// How many hosts the pool's work keeps busy, as NeedRecord::busy.
int EstimateBusyHosts(const PoolLoad& load);

// How many hosts the work that can still be in time calls for.
int EstimateTimelyHosts(const PoolLoad& load);

// How many hosts a pool should have: enough to work off what is open within
// the time that jobs can wait, to run all that could run now, and to take what
// is about to come.
int EstimateWantedHosts(const PoolLoad& load);

}  // namespace shallotwick::hosts
