#include "records/host_record.h"

#include <nlohmann/json.hpp>

namespace shallotwick::records {

NLOHMANN_JSON_SERIALIZE_ENUM(HostState, {{HostState::kServing, "serving"},
                                         {HostState::kDraining, "draining"},
                                         {HostState::kRebooting, "rebooting"},
                                         {HostState::kFailed, "failed"}})

NLOHMANN_JSON_SERIALIZE_ENUM(DrainPurpose, {{DrainPurpose::kNone, "none"},
                                            {DrainPurpose::kWave, "wave"},
                                            {DrainPurpose::kMove, "move"},
                                            {DrainPurpose::kLeave, "leave"}})

std::string NameOf(HostState state) {
  return nlohmann::json(state).get<std::string>();
}

std::string NameOf(DrainPurpose purpose) {
  return nlohmann::json(purpose).get<std::string>();
}

void to_json(nlohmann::json& json, const HostRecord& record) {
  json = {{"name", record.name},
          {"address", record.address},
          {"data_centre", record.data_centre},
          {"rack", record.rack},
          {"pool", record.pool},
          {"state", record.state},
          {"purpose", record.purpose},
          {"wave", record.wave},
          {"move_to", record.move_to},
          {"boot_id", record.boot_id},
          {"maintained_by", record.maintained_by},
          {"view_version", record.view_version}};
}

void from_json(const nlohmann::json& json, HostRecord& record) {
  json.at("name").get_to(record.name);
  json.at("address").get_to(record.address);
  json.at("data_centre").get_to(record.data_centre);
  json.at("rack").get_to(record.rack);
  json.at("pool").get_to(record.pool);
  json.at("state").get_to(record.state);
  json.at("purpose").get_to(record.purpose);
  json.at("wave").get_to(record.wave);
  json.at("move_to").get_to(record.move_to);
  json.at("boot_id").get_to(record.boot_id);
  json.at("maintained_by").get_to(record.maintained_by);
  json.at("view_version").get_to(record.view_version);
}

}  // namespace shallotwick::records
