#pragma once

#include <compare>
#include <string>

namespace shallotwick::link {

// Names a process on the link. A part that is not known is empty.
struct Identity {
  // The system that the process belongs to; its processes share one table
  // service.
  std::string system;
  // Generated at each start of a process.
  std::string incarnation;

  auto operator<=>(const Identity&) const = default;
};

enum class IdentityMatch {
  kSame,
  kOther,
  // No part is known on both sides.
  kUnknown,
};

IdentityMatch MatchIdentity(const Identity& expected, const Identity& actual);

}  // namespace shallotwick::link
