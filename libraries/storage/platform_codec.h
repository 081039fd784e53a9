#pragma once

#include <nlohmann/json.hpp>

#include "storage/host_list.h"
#include "storage/table_service.h"

// JSON encoding of the types in the platform's HTTP interface, which
// docs/PLATFORM.md describes. from_json throws nlohmann::json::exception if the
// input is malformed.
namespace shallotwick::storage {

void to_json(nlohmann::json& json, const Row& row);
void from_json(const nlohmann::json& json, Row& row);
void to_json(nlohmann::json& json, const Condition& condition);
void from_json(const nlohmann::json& json, Condition& condition);
void to_json(nlohmann::json& json, const Write& write);
void from_json(const nlohmann::json& json, Write& write);
void to_json(nlohmann::json& json, const Transaction& transaction);
void from_json(const nlohmann::json& json, Transaction& transaction);
void to_json(nlohmann::json& json, const ReadRequest& request);
void from_json(const nlohmann::json& json, ReadRequest& request);
void to_json(nlohmann::json& json, const ListedHost& host);
void from_json(const nlohmann::json& json, ListedHost& host);

}  // namespace shallotwick::storage
