#include "base/periodic_task.h"

#include <algorithm>
#include <utility>

namespace shallotwick::base {
namespace {

// Upper bound of a single wait. A paused RuntimeClock does not notify waiters
// when a test advances it, so the thread polls it.
constexpr auto kClockCheckPeriod = std::chrono::milliseconds(20);

}  // namespace

PeriodicTask::PeriodicTask(std::function<Duration()> run)
    : m_run(std::move(run)), m_thread([this] { RunThread(); }) {}

PeriodicTask::~PeriodicTask() { Stop(); }

void PeriodicTask::WakeUp() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_wake_requested = true;
  m_condition.notify_all();
}

void PeriodicTask::Stop() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stop_requested = true;
    m_condition.notify_all();
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void PeriodicTask::RunThread() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stop_requested) {
    m_wake_requested = false;
    lock.unlock();
    const TimePoint next_run = RuntimeClock::now() + m_run();
    lock.lock();
    while (!m_stop_requested && !m_wake_requested) {
      const Duration remaining = next_run - RuntimeClock::now();
      if (remaining <= Duration::zero()) {
        break;
      }
      m_condition.wait_for(lock,
                           std::min<Duration>(remaining, kClockCheckPeriod));
    }
  }
}

}  // namespace shallotwick::base
