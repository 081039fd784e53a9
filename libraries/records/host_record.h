#pragma once

#include <compare>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace shallotwick::records {

enum class HostState {
  kServing,
  // Takes no new work; what runs there is finished.
  kDraining,
  kRebooting,
  // The platform does not list it as live.
  kFailed,
};

// Why a host is drained.
enum class DrainPurpose { kNone, kWave, kMove, kLeave };

// What is kept of one host. `pool` is the one place that says where the host
// belongs.
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
  // The pool that the host is drained for.
  std::string move_to;
  // The boot seen last; a reboot has ended when the platform shows another.
  std::string boot_id;
  // The last wave that maintained the host.
  std::string maintained_by;
  // The view version at which the host took its present state.
  uint64_t view_version = 0;

  auto operator<=>(const HostRecord&) const = default;
};

std::string NameOf(HostState state);
std::string NameOf(DrainPurpose purpose);

void to_json(nlohmann::json& json, const HostRecord& record);
void from_json(const nlohmann::json& json, HostRecord& record);

}  // namespace shallotwick::records
