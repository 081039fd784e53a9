#pragma once

#include <compare>
#include <map>
#include <string>

namespace shallotwick::hosts {

// A transfer of a host that an owner has ordered.
struct HostTransfer {
  std::string from;
  std::string to;

  auto operator<=>(const HostTransfer&) const = default;
};

// The transfers that the owner of one pool has ordered and that other owners
// may not see in their lists of hosts yet, by host.
using HostTransfers = std::map<std::string, HostTransfer>;

std::string EncodeHostTransfers(const HostTransfers& transfers);
// Throws std::runtime_error if the text is not a valid record.
HostTransfers DecodeHostTransfers(const std::string& text);

}  // namespace shallotwick::hosts
