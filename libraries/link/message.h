#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace shallotwick::link {

// Largest message between two of our processes.
inline constexpr size_t kLargestMessageBytes = size_t{8} * 1024 * 1024;

using Bytes = std::vector<uint8_t>;

// One call from one of our processes to another: a path and a CBOR body.
struct Call {
  std::string path;
  Bytes body;

  auto operator<=>(const Call&) const = default;
};

enum class ReplyStatus {
  kOk,
  // The body could not be read, or asks for what can't be.
  kRefused,
  // No answer came: not connected, cut off or too late.
  kUnreachable,
};

struct Reply {
  ReplyStatus status = ReplyStatus::kOk;
  Bytes body;

  auto operator<=>(const Reply&) const = default;
};

// Bytes that this process has sent and received on all links.
uint64_t GetLinkBytes();

using OnReply = std::function<void(Reply)>;
// Answers one call, once, on the thread that it was handed over on.
using CallHandler = std::function<void(Call, OnReply)>;

}  // namespace shallotwick::link
