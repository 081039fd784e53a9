#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace shallotwick::base {

// Holds the calling thread's place in the read-copy-update domain, which it
// joins at first use and leaves when the thread ends.
class RcuReadLock {
 public:
  RcuReadLock();
  ~RcuReadLock();
  RcuReadLock(const RcuReadLock&) = delete;
  RcuReadLock& operator=(const RcuReadLock&) = delete;
};

// Waits until every reader that started before the call has ended.
void WaitForRcuReaders();

// Tell the thread sanitizer about the order that the RCU library's barriers
// give, which it does not model. No effect in other builds.
void AnnotateRcuRelease(const void* address);
void AnnotateRcuAcquire(const void* address);

// An immutable value that readers see without locks and writers swap whole.
template <typename Value>
class RcuCell {
 public:
  explicit RcuCell(std::unique_ptr<const Value> value)
      : m_value(value.release()) {}
  ~RcuCell() { delete m_value.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Calls `reader` with the present value, which stays alive during the call.
  // The reader must not block.
  template <typename Reader>
  auto Read(Reader&& reader) const {
    RcuReadLock lock;
    ReleaseAtEnd release{this};
    return std::forward<Reader>(reader)(
        *m_value.load(std::memory_order_acquire));
  }

  // Swaps the value in. Returns when no reader sees the former value any more,
  // so that what readers did with it is complete.
  void Replace(std::unique_ptr<const Value> value) {
    std::lock_guard<std::mutex> lock(m_writer);
    std::unique_ptr<const Value> former(m_value.exchange(value.release()));
    WaitForRcuReaders();
    AnnotateRcuAcquire(this);
  }

 private:
  struct ReleaseAtEnd {
    const RcuCell* m_cell;
    ~ReleaseAtEnd() { AnnotateRcuRelease(m_cell); }
  };

  std::mutex m_writer;
  std::atomic<const Value*> m_value;
};

}  // namespace shallotwick::base
