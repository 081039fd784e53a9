#pragma once

#include <nlohmann/json.hpp>

// Defines to_json and from_json, which a header declares, for a struct. Each
// listed member is a required member of the JSON object under the same name.
#define SHALLOTWICK_DEFINE_JSON(Type, ...)                                     \
  void to_json(nlohmann::json& nlohmann_json_j, const Type& nlohmann_json_t) { \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))   \
  }                                                                            \
  void from_json(const nlohmann::json& nlohmann_json_j,                        \
                 Type& nlohmann_json_t) {                                      \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__)) \
  }
