#pragma once

#include <nlohmann/json.hpp>

// Defines to_json and from_json, declared in a header, for a struct of which
// all listed members are present in the JSON object under their own names.
#define SHALLOTWICK_DEFINE_JSON(Type, ...)                                     \
  void to_json(nlohmann::json& nlohmann_json_j, const Type& nlohmann_json_t) { \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))   \
  }                                                                            \
  void from_json(const nlohmann::json& nlohmann_json_j,                        \
                 Type& nlohmann_json_t) {                                      \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__)) \
  }
