#include "storage/platform_codec.h"

namespace shallotwick::storage {

NLOHMANN_JSON_SERIALIZE_ENUM(Condition::Kind,
                             {{Condition::Kind::kGenerationIs, "generation"},
                              {Condition::Kind::kFieldIs, "field"}})

NLOHMANN_JSON_SERIALIZE_ENUM(ListedStatus, {{ListedStatus::kLive, "live"},
                                            {ListedStatus::kLeaving, "leaving"},
                                            {ListedStatus::kDead, "dead"}})

void to_json(nlohmann::json& json, const Row& row) {
  json = {{"key", row.key},
          {"value", row.value},
          {"generation", row.generation},
          {"write_id", row.write_id}};
}

void from_json(const nlohmann::json& json, Row& row) {
  json.at("key").get_to(row.key);
  json.at("value").get_to(row.value);
  json.at("generation").get_to(row.generation);
  json.at("write_id").get_to(row.write_id);
}

void to_json(nlohmann::json& json, const Condition& condition) {
  json = {{"kind", condition.kind}, {"key", condition.key}};
  if (condition.kind == Condition::Kind::kGenerationIs) {
    json["generation"] = condition.generation;
    return;
  }
  json["field"] = condition.field;
  json["value"] = condition.field_value;
}

void from_json(const nlohmann::json& json, Condition& condition) {
  json.at("kind").get_to(condition.kind);
  json.at("key").get_to(condition.key);
  if (condition.kind == Condition::Kind::kGenerationIs) {
    json.at("generation").get_to(condition.generation);
    return;
  }
  json.at("field").get_to(condition.field);
  json.at("value").get_to(condition.field_value);
}

void to_json(nlohmann::json& json, const Write& write) {
  json = {{"key", write.key}};
  if (write.value) {
    json["value"] = *write.value;
  }
}

void from_json(const nlohmann::json& json, Write& write) {
  json.at("key").get_to(write.key);
  write.value.reset();
  if (json.contains("value")) {
    write.value = json.at("value").get<std::string>();
  }
}

void to_json(nlohmann::json& json, const Transaction& transaction) {
  json = {{"write_id", transaction.write_id},
          {"conditions", transaction.conditions},
          {"writes", transaction.writes}};
}

void from_json(const nlohmann::json& json, Transaction& transaction) {
  json.at("write_id").get_to(transaction.write_id);
  json.at("conditions").get_to(transaction.conditions);
  json.at("writes").get_to(transaction.writes);
}

void to_json(nlohmann::json& json, const ReadRequest& request) {
  json = {{"keys", request.keys}, {"prefixes", request.prefixes}};
}

void from_json(const nlohmann::json& json, ReadRequest& request) {
  json.at("keys").get_to(request.keys);
  json.at("prefixes").get_to(request.prefixes);
}

void to_json(nlohmann::json& json, const ListedHost& host) {
  json = {{"name", host.name},
          {"address", host.address},
          {"data_centre", host.data_centre},
          {"rack", host.rack},
          {"processors", host.processors},
          {"memory_gigabytes", host.memory_gigabytes},
          {"accelerators", host.accelerators},
          {"status", host.status},
          {"boot_id", host.boot_id}};
}

void from_json(const nlohmann::json& json, ListedHost& host) {
  json.at("name").get_to(host.name);
  json.at("address").get_to(host.address);
  json.at("data_centre").get_to(host.data_centre);
  json.at("rack").get_to(host.rack);
  json.at("processors").get_to(host.processors);
  json.at("memory_gigabytes").get_to(host.memory_gigabytes);
  json.at("accelerators").get_to(host.accelerators);
  json.at("status").get_to(host.status);
  json.at("boot_id").get_to(host.boot_id);
}

}  // namespace shallotwick::storage
