#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace shallotwick::hosts {

enum class HostState {
  kUp,
  kMoving,
  kMaintenance,
  kDown,
  // The platform's list has the host, but its row cannot be read.
  kUnknown,
};

// A host of the fleet as listed by the platform.
struct FleetHost {
  // Empty if the host's row cannot be read, which leaves open which host it is.
  std::string name;
  std::string pool;
  HostState state = HostState::kUp;
  // The target that runs on the host; empty if none does, or if the state is
  // kUnknown and the target is not known.
  std::string target;
  int64_t cpu_milli = 0;
  // Zero or empty if not listed.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  std::vector<std::string> labels = {};

  auto operator<=>(const FleetHost&) const = default;
};

enum class HostOperationOutcome {
  // The operation is done, or had been done before.
  kDone,
  // The operation was rejected: a higher fencing token was used for this host.
  kFenced,
  // The host is not up, or is leaving its pool.
  kBusy,
  // The host is not part of the maintenance wave.
  kNotInWave,
  // There is no such host, or the pool is of another kind.
  kInvalid,
  // The platform refused the operation; nothing was done.
  kRefused,
  // The operation may have been done, or may still be done later.
  kUnknown,
};

// The requester of a host operation and its fencing token. Operations of a
// holder carry a higher token than those of previous holders of the host.
struct HostFence {
  std::string holder;
  uint64_t token = 0;

  auto operator<=>(const HostFence&) const = default;
};

// The platform's operations on hosts. Callbacks run on the event loop, never
// from within the call.
class HostOperations {
 public:
  virtual ~HostOperations() = default;

  using OnHosts = std::function<void(bool, std::vector<FleetHost>)>;
  using OnOutcome = std::function<void(HostOperationOutcome)>;

  // Lists all hosts. The callback gets false if the full list could not be
  // read.
  virtual void List(OnHosts on_done) = 0;
  // Ends everything that runs on the host and moves it to another pool.
  virtual void Move(const std::string& host, const std::string& pool,
                    const HostFence& fence, OnOutcome on_done) = 0;
  // Ends everything that runs on the host and shuts it down for maintenance.
  virtual void Maintain(const std::string& host, int64_t wave,
                        const HostFence& fence, OnOutcome on_done) = 0;
};

}  // namespace shallotwick::hosts
