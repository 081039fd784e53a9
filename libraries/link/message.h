#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "link/identity.h"

namespace shallotwick::link {

// Maximum size of a message body between two Shallotwick processes.
inline constexpr size_t kMaxMessageBytes = size_t{8} * 1024 * 1024;

using Bytes = std::vector<uint8_t>;

// One remote call between two Shallotwick processes: a path and a CBOR body.
struct Call {
  std::string path;
  Bytes body;
  // The process that the call is meant for.
  Identity recipient{};
  // Not transferred: whether `recipient` was found to name the receiver.
  bool is_verified = false;

  auto operator<=>(const Call&) const = default;
};

enum class ReplyStatus {
  kOk,
  // The request body could not be decoded, or the request is invalid.
  kRefused,
  // The call is meant for another process than the one that received it.
  kMisdirected,
  // No reply was received: the connection could not be established, was closed,
  // or the call timed out.
  kUnreachable,
};

struct Reply {
  ReplyStatus status = ReplyStatus::kOk;
  Bytes body;
  // The process that replied.
  Identity sender{};
  // Not transferred: whether `sender` was found to be the process that the call
  // was meant for.
  bool is_verified = false;

  auto operator<=>(const Reply&) const = default;
};

// Returns the total number of bytes that this process has sent and received
// over all links.
uint64_t GetLinkBytes();

using OnReply = std::function<void(Reply)>;
// Handles one call. The handler or its later work must call OnReply exactly
// once, on the thread that the handler was called on.
using CallHandler = std::function<void(Call, OnReply)>;

}  // namespace shallotwick::link
