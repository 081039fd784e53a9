#include "../membership.h"

#include <CppUTest/TestHarness.h>

namespace gateway = shallotwick::gateway;
using std::chrono::milliseconds;

TEST_GROUP(Membership){};

TEST(Membership, ALostRenewalLeavesTimeForASecondOne) {
  for (const milliseconds limit :
       {milliseconds(1'000), milliseconds(4'000), milliseconds(20'000)}) {
    const gateway::MembershipOptions options =
        gateway::MakeMembershipOptions(limit);
    CHECK_TRUE(2 * (options.max_retry_delay + options.peer_timeout) <= limit);
    CHECK_TRUE(2 * options.periods_per_renewal * options.period <= limit);
  }
}
