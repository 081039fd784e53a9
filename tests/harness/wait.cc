#include "harness/wait.h"

#include <thread>

namespace shallotwick::harness {

bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds limit) {
  constexpr auto kPeriod = std::chrono::milliseconds(10);
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPeriod);
  }
  return true;
}

}  // namespace shallotwick::harness
