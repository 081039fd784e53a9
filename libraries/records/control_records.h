#pragma once

#include <compare>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace shallotwick::records {

// The controller's lease. A holder's transactions commit only while the row
// contains the holder's token.
struct LeaseRecord {
  std::string holder;
  std::string token;
  // Increases with every renewal. An observer may acquire the lease if the
  // value stays unchanged for the time to live by the observer's own clock.
  uint64_t renewal = 0;
  uint64_t time_to_live_milliseconds = 0;

  auto operator<=>(const LeaseRecord&) const = default;
};

// Names the system whose processes share this table service. Never changes.
struct SystemRecord {
  std::string identity;

  auto operator<=>(const SystemRecord&) const = default;
};

// A gateway's membership.
struct MemberRecord {
  std::string gateway;
  // Generated at each start of the process.
  std::string incarnation;
  std::string link_address;
  std::string http_address;
  std::string data_centre;
  uint64_t renewal = 0;
  uint64_t view_version = 0;
  uint64_t document_version = 0;
  bool ready = false;
  // Time without a renewal after which the gateway accepts no new requests. 0
  // in rows of builds that do not declare it.
  uint64_t limit_milliseconds = 0;

  auto operator<=>(const MemberRecord&) const = default;
};

// The unavailable hosts of a pool: failed, draining or rebooting.
struct PoolRecord {
  std::string pool;
  std::vector<std::string> unavailable;

  auto operator<=>(const PoolRecord&) const = default;
};

struct ViewHeadRecord {
  uint64_t version = 0;
  uint64_t document_version = 0;

  auto operator<=>(const ViewHeadRecord&) const = default;
};

void to_json(nlohmann::json& json, const LeaseRecord& record);
void from_json(const nlohmann::json& json, LeaseRecord& record);
void to_json(nlohmann::json& json, const SystemRecord& record);
void from_json(const nlohmann::json& json, SystemRecord& record);
void to_json(nlohmann::json& json, const MemberRecord& record);
void from_json(const nlohmann::json& json, MemberRecord& record);
void to_json(nlohmann::json& json, const PoolRecord& record);
void from_json(const nlohmann::json& json, PoolRecord& record);
void to_json(nlohmann::json& json, const ViewHeadRecord& record);
void from_json(const nlohmann::json& json, ViewHeadRecord& record);

}  // namespace shallotwick::records
