#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/runtime_clock.h"
#include "scheduling/target_messages.h"

namespace shallotwick::scheduling {

// The runs that are to be stopped, by target, in the order in which that was
// decided. Bounds the stops in flight to each target: an order that waits for a
// connection uses up its time, and holds back other orders to the target.
class StopQueue {
 public:
  // Adds a run, or has its stop sent again.
  void Add(const std::string& target, const TaskName& name);
  // The run has ended or is gone.
  void Remove(const std::string& target, const TaskName& name);
  // Forgets a target that has no runs any more.
  void RemoveTarget(const std::string& target) { m_stops.erase(target); }
  // Returns the targets on which a run of the task is being stopped.
  std::set<std::string> FindTargets(const TaskName& name) const;
  // Returns the targets with stops to send.
  std::vector<std::string> ListTargets() const;

  // Returns the next run of the target whose stop is to be sent now, if there
  // is one. The caller sends it, or drops it if it need not be stopped.
  std::optional<TaskName> Pop(const std::string& target, base::TimePoint now);
  void OnSent(const std::string& target);
  // Each order that was sent ends with one of these. An accepted stop is sent
  // again after a while, any other one after a short pause.
  void OnAccepted(const std::string& target, const TaskName& name,
                  base::TimePoint now);
  void OnNotAccepted(const std::string& target, const TaskName& name,
                     base::TimePoint now);

 private:
  struct TargetStops {
    std::deque<TaskName> ready;
    // The runs whose stops were accepted, and when.
    std::deque<std::pair<base::TimePoint, TaskName>> accepted;
    size_t in_flight = 0;
    base::TimePoint not_before;
  };

  bool IsIncluded(const std::string& target, const TaskName& name) const;
  void OnEnd(const std::string& target);

  std::map<std::string, TargetStops> m_stops;
  std::map<TaskName, std::set<std::string>> m_targets;
};

}  // namespace shallotwick::scheduling
