#include "base/rcu_cell.h"

#include <urcu.h>

#if defined(__SANITIZE_THREAD__)
extern "C" {
void __tsan_acquire(void* address);
void __tsan_release(void* address);
}
#endif

namespace shallotwick::base {
namespace {

struct ThreadRegistration {
  ThreadRegistration() { rcu_register_thread(); }
  ~ThreadRegistration() { rcu_unregister_thread(); }
};

}  // namespace

RcuReadLock::RcuReadLock() {
  thread_local ThreadRegistration registration;
  rcu_read_lock();
}

RcuReadLock::~RcuReadLock() { rcu_read_unlock(); }

void WaitForRcuReaders() { synchronize_rcu(); }

void AnnotateRcuRelease([[maybe_unused]] const void* address) {
#if defined(__SANITIZE_THREAD__)
  __tsan_release(const_cast<void*>(address));
#endif
}

void AnnotateRcuAcquire([[maybe_unused]] const void* address) {
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(const_cast<void*>(address));
#endif
}

}  // namespace shallotwick::base
