#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/runtime_clock.h"

namespace shallotwick::base {

// Calls a function repeatedly on a dedicated thread, with a delay between
// calls.
class PeriodicTask {
 public:
  // `run` returns the delay until its next call.
  explicit PeriodicTask(std::function<Duration()> run);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

  // Ends the current delay, so that the next call starts at once.
  void WakeUp();
  // Waits for a call in progress to return and prevents further calls.
  void Stop();

 private:
  void RunThread();

  std::function<Duration()> m_run;
  std::mutex m_mutex;
  std::condition_variable m_condition;
  bool m_stop_requested = false;
  bool m_wake_requested = false;
  std::thread m_thread;
};

}  // namespace shallotwick::base
