#pragma once

#include <compare>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace shallotwick::records {

enum class HostState {
  kServing,
  // Accepts no new work; running work is completed.
  kDraining,
  kRebooting,
  // The platform does not list the host as live.
  kFailed,
};

// Why a host is drained.
enum class DrainPurpose { kNone, kWave, kMove, kLeave };

// The stored state of one host. `pool` is the only record of the pool that the
// host belongs to.
struct HostRecord {
  std::string name;
  std::string address;
  std::string data_centre;
  std::string rack;
  std::string pool;
  HostState state = HostState::kServing;
  DrainPurpose purpose = DrainPurpose::kNone;
  // The wave that the host is drained or rebooted for.
  std::string wave;
  // The pool that the host moves to once it is drained.
  std::string move_to;
  // The last observed boot. A reboot has completed when the platform reports a
  // different one.
  std::string boot_id;
  // The last wave in which the host was maintained.
  std::string maintained_by;
  // The view version in which the host entered its current state.
  uint64_t view_version = 0;

  auto operator<=>(const HostRecord&) const = default;
};

std::string NameOf(HostState state);
std::string NameOf(DrainPurpose purpose);

void to_json(nlohmann::json& json, const HostRecord& record);
void from_json(const nlohmann::json& json, HostRecord& record);

}  // namespace shallotwick::records
