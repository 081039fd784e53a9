#include "link/identity.h"

namespace shallotwick::link {
namespace {

IdentityMatch MatchPart(const std::string& expected,
                        const std::string& actual) {
  if (expected.empty() || actual.empty()) {
    return IdentityMatch::kUnknown;
  }
  return expected == actual ? IdentityMatch::kSame : IdentityMatch::kOther;
}

}  // namespace

IdentityMatch MatchIdentity(const Identity& expected, const Identity& actual) {
  // An incarnation is unique across systems, so it decides alone.
  const IdentityMatch incarnation =
      MatchPart(expected.incarnation, actual.incarnation);
  return incarnation == IdentityMatch::kUnknown
             ? MatchPart(expected.system, actual.system)
             : incarnation;
}

}  // namespace shallotwick::link
