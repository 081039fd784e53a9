#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "scheduling/job.h"

namespace shallotwick::scheduling::testing {

// Finds long-running tasks that do not run although they could: from 6 s after
// the last run of a task, for 3 s that are calm like the 4 s before them.
class LongRunningCheck {
 public:
  void ObserveFault(base::TimePoint now) { m_last_fault = now; }
  // Observes a task whose turn has come. Returns whether it violates the rule,
  // once for each wait.
  bool Observe(const TaskName& task, bool is_running, bool has_room,
               base::TimePoint now);
  void Forget(const std::string& job);

 private:
  struct Wait {
    base::TimePoint last_run;
    // When there was last no room for it.
    base::TimePoint last_full;
    bool is_reported = false;
  };

  base::TimePoint m_last_fault;
  std::map<TaskName, Wait> m_waits;
};

}  // namespace shallotwick::scheduling::testing
