#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "customers/customer_registry.h"

namespace shallotwick::customers {

// Tells the jobs that customers are owed from those that they send beyond their
// weight in jobs a second.
class ArrivalRates {
 public:
  // Sets the rates in force. What customers have sent counts on.
  void SetCustomers(const CustomerRegistry& customers);

  // Counts a job that arrived at `at_ms`, in milliseconds since the Unix epoch.
  // Returns whether it is beyond the customer's rate. Jobs are counted in the
  // order of their arrival. Customers without a weight have no rate.
  bool IsExcess(const std::string& customer, int64_t at_ms);

 private:
  // A token bucket.
  struct Bucket {
    double rate_per_s = 0;
    double tokens = 0;
    int64_t filled_ms = 0;
  };

  std::map<std::string, Bucket> m_buckets;
};

}  // namespace shallotwick::customers
