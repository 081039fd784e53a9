#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/runtime_clock.h"

namespace shallotwick::base {

// Calls a function on a thread of its own, with a pause between the calls.
class PeriodicTask {
 public:
  // `run` returns the pause before its next call.
  explicit PeriodicTask(std::function<Duration()> run);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

  // Ends the present pause, if any.
  void WakeUp();
  // Returns when the present call has ended; no other follows.
  void Stop();

 private:
  void RunThread();

  std::function<Duration()> m_run;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopping = false;
  bool m_woken = false;
  std::thread m_thread;
};

}  // namespace shallotwick::base
