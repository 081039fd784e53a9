#include "base/periodic_task.h"

#include <algorithm>
#include <utility>

namespace shallotwick::base {
namespace {

// A paused runtime clock must be looked at again from time to time.
constexpr auto kClockCheckPeriod = std::chrono::milliseconds(20);

}  // namespace

PeriodicTask::PeriodicTask(std::function<Duration()> run)
    : m_run(std::move(run)), m_thread([this] { RunThread(); }) {}

PeriodicTask::~PeriodicTask() { Stop(); }

void PeriodicTask::WakeUp() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_woken = true;
  m_changed.notify_all();
}

void PeriodicTask::Stop() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void PeriodicTask::RunThread() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    m_woken = false;
    lock.unlock();
    const TimePoint due = RuntimeClock::now() + m_run();
    lock.lock();
    while (!m_stopping && !m_woken) {
      const Duration left = due - RuntimeClock::now();
      if (left <= Duration::zero()) {
        break;
      }
      m_changed.wait_for(lock, std::min<Duration>(left, kClockCheckPeriod));
    }
  }
}

}  // namespace shallotwick::base
