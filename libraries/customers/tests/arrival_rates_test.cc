// Customers that send many times their usual.
#include "customers/arrival_rates.h"

#include <CppUTest/TestHarness.h>

namespace base = shallotwick::base;
namespace customers = shallotwick::customers;

TEST_GROUP(ArrivalRates) {
  customers::ArrivalRates m_rates;

  void setup() override { SetWeight(10); }
  void SetWeight(double weight) {
    base::Findings findings;
    m_rates.SetCustomers({{{"a", {}, weight, {}}, {"b", {}, 0, {}}}, findings});
  }
  // Returns how many of the jobs of these seconds are within the rate.
  int CountOwed(int per_second, int from_s, int until_s) {
    int owed = 0;
    for (int i = from_s * per_second; i < until_s * per_second; ++i) {
      owed += m_rates.IsExcess("a", int64_t{1'000} * i / per_second) ? 0 : 1;
    }
    return owed;
  }
  // Returns how many of the jobs of one moment are within the rate.
  int CountAtOnce(int jobs, int64_t at_ms) {
    int owed = 0;
    for (int i = 0; i < jobs; ++i) {
      owed += m_rates.IsExcess("a", at_ms) ? 0 : 1;
    }
    return owed;
  }
};

TEST(ArrivalRates, WithinItsRateACustomerSendsNoExcess) {
  LONGS_EQUAL(100, CountOwed(10, 100, 110));
}

TEST(ArrivalRates, BeyondItsRateTheRateIsOwed) {
  for (const int times : {8, 20}) {
    m_rates = {};
    SetWeight(10);
    const int owed = CountOwed(10 * times, 100, 110);
    CHECK_TRUE(owed >= 100 && owed <= 125);
  }
}

TEST(ArrivalRates, AfterAPeakTheCustomerIsOwedItsRateAgain) {
  CountOwed(200, 100, 105);
  LONGS_EQUAL(50, CountOwed(10, 110, 115));
}

TEST(ArrivalRates, SmallCustomersMaySendAFewJobsAtOnce) {
  SetWeight(0.5);
  m_rates = {};
  SetWeight(0.5);
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(m_rates.IsExcess("a", 100'000));
  }
  CHECK_TRUE(m_rates.IsExcess("a", 100'000));
}

TEST(ArrivalRates, ANewConfigurationForgetsNothing) {
  CountOwed(200, 100, 105);
  SetWeight(10);
  CHECK_TRUE(CountAtOnce(10, 105'000) <= 1);
}

TEST(ArrivalRates, WithoutARateNothingIsExcess) {
  for (const char* customer : {"b", "c", ""}) {
    for (int i = 0; i < 1'000; ++i) {
      CHECK_FALSE(m_rates.IsExcess(customer, 100'000));
    }
  }
}

TEST(ArrivalRates, ATimeThatGoesBackAddsNothing) {
  CountOwed(200, 100, 105);
  CHECK_TRUE(CountAtOnce(10, 1'000) <= 1);
  CHECK_TRUE(CountAtOnce(10, 105'000) <= 1);
}
