// Keys are revoked while hosts are cut off, frozen or restarted: a host knows
// only how long ago its configuration was certainly the newest one.
#include "customers/call_admission.h"

#include <CppUTest/TestHarness.h>

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;
using customers::AdmissionOutcome;
using std::chrono::milliseconds;

namespace {

constexpr auto kRevocationTime = milliseconds(5'000);

}  // namespace

TEST_GROUP(CallAdmission) {
  customers::AdmissionPolicy m_policy{kRevocationTime};
  base::Findings m_findings;
  customers::CustomerRegistry m_registry{
      {customers::Customer{"a", {"a1"}, 1, {}}}, m_findings};

  customers::Admission Admit(std::optional<std::string> authorization,
                             base::Duration age = milliseconds(0),
                             bool is_public = false) {
    return customers::AdmitCall(m_registry, m_policy,
                                {is_public, std::move(authorization)}, age);
  }
};

TEST(CallAdmission, AKnownKeyNamesItsCustomer) {
  const auto admission = Admit("Bearer a1");
  CHECK_TRUE(admission.outcome == AdmissionOutcome::kAdmitted);
  STRCMP_EQUAL("a", admission.customer.c_str());
}

TEST(CallAdmission, TheSchemeIsNotCaseSensitive) {
  CHECK_TRUE(Admit("bearer  a1").outcome == AdmissionOutcome::kAdmitted);
}

TEST(CallAdmission, EachRefusalHasItsReason) {
  STRCMP_EQUAL("key-missing", Admit(std::nullopt).reason);
  for (const char* malformed : {"", "a1", "Bearer", "Bearer ", "Basic a1"}) {
    STRCMP_EQUAL("key-malformed", Admit(malformed).reason);
  }
  for (const char* unknown : {"Bearer a", "Bearer a11", "Bearer A1"}) {
    const auto admission = Admit(unknown);
    STRCMP_EQUAL("key-unknown", admission.reason);
    CHECK_TRUE(admission.outcome == AdmissionOutcome::kUnauthorized);
  }
}

TEST(CallAdmission, PublicRoutesAndConfigurationsWithoutCustomersNeedNoKey) {
  CHECK_TRUE(Admit(std::nullopt, milliseconds(9'000), true).outcome ==
             AdmissionOutcome::kAdmitted);
  m_registry = {};
  CHECK_TRUE(Admit(std::nullopt, base::Duration::max()).outcome ==
             AdmissionOutcome::kAdmitted);
}

TEST(CallAdmission, AKeyAdmitsNobodyOnceItMayHaveBeenRevokedForTooLong) {
  CHECK_TRUE(Admit("Bearer a1", milliseconds(4'400)).outcome ==
             AdmissionOutcome::kAdmitted);
  for (const base::Duration age :
       {base::Duration(kRevocationTime), base::Duration(milliseconds(4'600)),
        base::Duration::max()}) {
    CHECK_TRUE(Admit("Bearer a1", age).outcome == AdmissionOutcome::kUncertain);
    CHECK_FALSE(customers::CanAdmit(m_policy, age));
  }
}

TEST(CallAdmission, WithoutABoundAKnownKeyAdmitsAtAnyAge) {
  m_policy = {};
  CHECK_TRUE(Admit("Bearer a1", base::Duration::max()).outcome ==
             AdmissionOutcome::kAdmitted);
}

TEST(CallAdmission, AnUnknownKeyMayHaveBeenAddedSince) {
  CHECK_TRUE(Admit("Bearer new", milliseconds(2'400)).outcome ==
             AdmissionOutcome::kUnauthorized);
  CHECK_TRUE(Admit("Bearer new", milliseconds(2'600)).outcome ==
             AdmissionOutcome::kUncertain);
}
