#include "link/identity.h"

#include <CppUTest/TestHarness.h>

namespace wire = shallotwick::link;

using wire::IdentityMatch;

TEST_GROUP(Identity){};

TEST(Identity, AnIncarnationDecidesBeforeTheSystem) {
  CHECK_TRUE(wire::MatchIdentity({"s", "i"}, {"s", "i"}) ==
             IdentityMatch::kSame);
  CHECK_TRUE(wire::MatchIdentity({"s", "i"}, {"s", "j"}) ==
             IdentityMatch::kOther);
  CHECK_TRUE(wire::MatchIdentity({"s", "i"}, {"", "i"}) ==
             IdentityMatch::kSame);
  CHECK_TRUE(wire::MatchIdentity({"s", ""}, {"s", "i"}) ==
             IdentityMatch::kSame);
  CHECK_TRUE(wire::MatchIdentity({"s", ""}, {"t", "i"}) ==
             IdentityMatch::kOther);
  CHECK_TRUE(wire::MatchIdentity({"s", ""}, {"", "i"}) ==
             IdentityMatch::kUnknown);
  CHECK_TRUE(wire::MatchIdentity({}, {"s", "i"}) == IdentityMatch::kUnknown);
}
