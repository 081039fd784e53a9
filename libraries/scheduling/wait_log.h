#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "scheduling/job.h"

namespace shallotwick::scheduling {

// Why a task is not placed.
struct TaskWait {
  TaskName task;
  // The target that the task waits for; empty if it waits for none.
  std::string target;
  const char* reason = "";
  // The task fits on no target that can be used.
  bool is_without_room = false;
};

// Selects the waits of tasks that are worth a log line: each change of the
// reason, but only a bounded number of lines in a given time.
class WaitLog {
 public:
  // `waits` holds all steps that wait now, with index 0, and why their first
  // waiting task does. Returns the waits to log.
  std::vector<TaskWait> Update(const std::map<TaskName, TaskWait>& waits,
                               base::TimePoint now);

 private:
  struct Entry {
    TaskWait wait;
    base::TimePoint logged_at;
  };

  std::map<TaskName, Entry> m_logged;
};

}  // namespace shallotwick::scheduling
