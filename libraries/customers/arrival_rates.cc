#include "customers/arrival_rates.h"

#include <algorithm>
#include <utility>

namespace shallotwick::customers {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;
// Callers do not send evenly: what they may send at once is their rate over
// this time, but at least some jobs.
constexpr double kBurstSeconds = 2;
constexpr double kMinBurst = 4;

double GetBurst(double rate_per_s) {
  return std::max(kMinBurst, kBurstSeconds * rate_per_s);
}

}  // namespace

void ArrivalRates::SetCustomers(const CustomerRegistry& customers) {
  std::map<std::string, Bucket> buckets;
  for (const auto& [name, customer] : customers.GetCustomers()) {
    if (customer.weight <= 0) {
      continue;
    }
    const auto known = m_buckets.find(name);
    Bucket bucket = known == m_buckets.end()
                        ? Bucket{0, GetBurst(customer.weight), 0}
                        : known->second;
    bucket.rate_per_s = customer.weight;
    buckets[name] = bucket;
  }
  m_buckets = std::move(buckets);
}

bool ArrivalRates::IsExcess(const std::string& customer, int64_t at_ms) {
  const auto found = m_buckets.find(customer);
  if (found == m_buckets.end()) {
    return false;
  }
  Bucket& bucket = found->second;
  const int64_t elapsed_ms = std::max(int64_t{0}, at_ms - bucket.filled_ms);
  bucket.filled_ms = std::max(bucket.filled_ms, at_ms);
  bucket.tokens = std::min(GetBurst(bucket.rate_per_s),
                           bucket.tokens + bucket.rate_per_s *
                                               static_cast<double>(elapsed_ms) /
                                               kMillisecondsPerSecond);
  if (bucket.tokens < 1) {
    return true;
  }
  bucket.tokens -= 1;
  return false;
}

}  // namespace shallotwick::customers
