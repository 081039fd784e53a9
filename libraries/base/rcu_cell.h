#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace shallotwick::base {

// An RCU (read-copy-update) read-side critical section. A thread is registered
// with the RCU library at first use and unregistered when it exits.
class RcuReadLock {
 public:
  RcuReadLock();
  ~RcuReadLock();
  RcuReadLock(const RcuReadLock&) = delete;
  RcuReadLock& operator=(const RcuReadLock&) = delete;
};

// Waits until all read-side critical sections that began before the call have
// ended.
void WaitForRcuReaders();

// Annotate the ordering established by the RCU library's memory barriers, which
// ThreadSanitizer does not model. No effect in other builds.
void AnnotateRcuRelease(const void* address);
void AnnotateRcuAcquire(const void* address);

// Holds an immutable value that readers access without locks and writers
// replace as a whole.
template <typename Value>
class RcuCell {
 public:
  explicit RcuCell(std::unique_ptr<const Value> value)
      : m_value(value.release()) {}
  ~RcuCell() { delete m_value.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Calls `reader` with the current value, which is valid during the call.
  // `reader` must not block, since Replace() waits for it.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    RcuReadLock lock;
    ReleaseOnExit release{this};
    return std::forward<Reader>(reader)(
        *m_value.load(std::memory_order_acquire));
  }

  // Replaces the value. Returns once no reader uses the previous value, so all
  // actions of readers that are based on it are complete.
  void Replace(std::unique_ptr<const Value> value) {
    std::lock_guard<std::mutex> lock(m_writer);
    std::unique_ptr<const Value> previous(m_value.exchange(value.release()));
    WaitForRcuReaders();
    AnnotateRcuAcquire(this);
  }

 private:
  struct ReleaseOnExit {
    const RcuCell* m_cell;
    ~ReleaseOnExit() { AnnotateRcuRelease(m_cell); }
  };

  std::mutex m_writer;
  std::atomic<const Value*> m_value;
};

}  // namespace shallotwick::base
