#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "link/message.h"

namespace shallotwick::control {

template <typename Message>
link::Bytes Encode(const Message& message) {
  return nlohmann::json::to_cbor(nlohmann::json(message));
}

// Returns std::nullopt if the bytes are not a valid message of this type.
template <typename Message>
std::optional<Message> Decode(const link::Bytes& bytes) {
  try {
    return nlohmann::json::from_cbor(bytes).get<Message>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace shallotwick::control
