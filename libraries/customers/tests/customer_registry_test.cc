#include "customers/customer_registry.h"

#include <CppUTest/TestHarness.h>

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;

TEST_GROUP(CustomerRegistry) {
  base::Findings m_findings;

  customers::CustomerRegistry Make(std::vector<customers::Customer> listed) {
    return {std::move(listed), m_findings};
  }
};

TEST(CustomerRegistry, WithoutCustomersCallsNeedNoKey) {
  CHECK_FALSE(customers::CustomerRegistry().RequiresKeys());
}

TEST(CustomerRegistry, AnEmptyListStillNeedsKeys) {
  const auto registry = Make({});
  CHECK_TRUE(registry.RequiresKeys());
  POINTERS_EQUAL(nullptr, registry.FindByKey("key"));
  POINTERS_EQUAL(nullptr, registry.FindByKey(""));
}

TEST(CustomerRegistry, FindsTheCustomerOfEachKey) {
  const auto registry =
      Make({{"a", {"a1", "a2"}, 1, {}}, {"b", {"b1"}, 1, {}}});
  STRCMP_EQUAL("a", registry.FindByKey("a2")->name.c_str());
  STRCMP_EQUAL("b", registry.FindByKey("b1")->name.c_str());
  POINTERS_EQUAL(nullptr, registry.FindByKey("c1"));
  CHECK_TRUE(m_findings.empty());
}

TEST(CustomerRegistry, AKeyOfTwoCustomersAdmitsNeither) {
  const auto registry = Make({{"a", {"both", "a1"}, 1, {}},
                              {"b", {"both"}, 1, {}},
                              {"c", {"both"}, 1, {}}});
  POINTERS_EQUAL(nullptr, registry.FindByKey("both"));
  STRCMP_EQUAL("a", registry.FindByKey("a1")->name.c_str());
  LONGS_EQUAL(2, m_findings.size());
  // Findings are logged.
  CHECK_TRUE(base::FormatFindings(m_findings).find("both") ==
             std::string::npos);
}

TEST(CustomerRegistry, AKeyListedTwiceIsStillItsCustomers) {
  const auto registry = Make({{"a", {"a1", "a1"}, 1, {}}});
  STRCMP_EQUAL("a", registry.FindByKey("a1")->name.c_str());
  CHECK_TRUE(m_findings.empty());
}

TEST(CustomerRegistry, OfTwoEntriesWithOneNameTheFirstCounts) {
  const auto registry = Make({{"a", {"a1"}, 1, {}}, {"a", {"a2"}, 2, {}}});
  POINTERS_EQUAL(nullptr, registry.FindByKey("a2"));
  DOUBLES_EQUAL(1, registry.Find("a")->weight, 0);
  LONGS_EQUAL(1, m_findings.size());
}
