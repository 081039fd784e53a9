#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace shallotwick::hosts {

enum class HostState { kUp, kMoving, kMaintenance, kDown };

// A host of the fleet as the platform lists it.
struct FleetHost {
  std::string name;
  std::string pool;
  HostState state = HostState::kUp;
  // The target that runs on it; empty while none does.
  std::string target;
  int64_t cpu_milli = 0;

  auto operator<=>(const FleetHost&) const = default;
};

enum class HostOperationOutcome {
  // Done, also if it was done before.
  kDone,
  // A higher fencing token was used for this host.
  kFenced,
  // The host is not up, or is leaving.
  kBusy,
  // The host is not part of that wave.
  kNotInWave,
  // There is no such host, or the pool is of another kind.
  kInvalid,
  // Nothing was done.
  kRefused,
  // It may have been done, or may be done later.
  kUnknown,
};

// Who asks, and the token that orders its operations on a host after those of
// former holders.
struct HostFence {
  std::string holder;
  uint64_t token = 0;

  auto operator<=>(const HostFence&) const = default;
};

// What the platform does with hosts. Callbacks come on the event loop, never
// from within the call.
class HostOperations {
 public:
  virtual ~HostOperations() = default;

  using OnHosts = std::function<void(bool, std::vector<FleetHost>)>;
  using OnOutcome = std::function<void(HostOperationOutcome)>;

  // Lists all hosts; false if the list could not be had as a whole.
  virtual void List(OnHosts on_end) = 0;
  // Ends all that runs on the host and puts it into another pool.
  virtual void Move(const std::string& host, const std::string& pool,
                    const HostFence& fence, OnOutcome on_end) = 0;
  // Ends all that runs on the host and takes it down for maintenance.
  virtual void Maintain(const std::string& host, int64_t wave,
                        const HostFence& fence, OnOutcome on_end) = 0;
};

}  // namespace shallotwick::hosts
