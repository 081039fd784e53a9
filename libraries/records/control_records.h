#pragma once

#include <compare>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace shallotwick::records {

// The controller's lease. A holder commits only while the token is its own.
struct LeaseRecord {
  std::string holder;
  std::string token;
  // Grows with every renewal; an observer that sees it stand still for the time
  // to live, by its own clock, may take the lease.
  uint64_t renewal = 0;
  uint64_t time_to_live_milliseconds = 0;

  auto operator<=>(const LeaseRecord&) const = default;
};

// A gateway's membership.
struct MemberRecord {
  std::string gateway;
  // Drawn at each start of the process.
  std::string incarnation;
  std::string link_address;
  std::string http_address;
  std::string data_centre;
  uint64_t renewal = 0;
  uint64_t view_version = 0;
  uint64_t document_version = 0;
  bool ready = false;
  // Without a renewal for so long the gateway takes no new requests. Rows of
  // builds that do not declare it read as 0.
  uint64_t limit_milliseconds = 0;

  auto operator<=>(const MemberRecord&) const = default;
};

// The hosts of a pool that are not available: failed, draining or rebooting.
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
void to_json(nlohmann::json& json, const MemberRecord& record);
void from_json(const nlohmann::json& json, MemberRecord& record);
void to_json(nlohmann::json& json, const PoolRecord& record);
void from_json(const nlohmann::json& json, PoolRecord& record);
void to_json(nlohmann::json& json, const ViewHeadRecord& record);
void from_json(const nlohmann::json& json, ViewHeadRecord& record);

}  // namespace shallotwick::records
