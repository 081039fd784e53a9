#pragma once

#include <chrono>
#include <functional>

namespace shallotwick::harness {

// Waits until a condition holds. Returns false if it does not within the limit.
bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds limit = std::chrono::seconds(30));

}  // namespace shallotwick::harness
