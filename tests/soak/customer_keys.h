#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "caller.h"
#include "standin-cluster/cluster_standin.h"

namespace shallotwick::soak {

// The customers of a play: their keys, which are replaced, and the limit of one
// of them, which rises and falls.
class CustomerKeys {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // How long a revoked key may still admit calls.
  static constexpr std::chrono::milliseconds kRevocationTime{5'000};

  explicit CustomerKeys(uint32_t seed) : m_random(seed) {}

  // Returns a key of the caller's customer.
  std::string GetKey(int caller) const;
  // Returns a key that was revoked for so long that it may admit no call, or
  // one that no customer ever had.
  std::string DrawForbiddenKey();
  // Replaces the key of a customer or changes the limit, and returns the next
  // configuration. `is_over`: the last change, with a limit that lets all jobs
  // end.
  std::string MakeNextConfig(bool is_over);
  // The configuration of the last call is confirmed.
  void OnConfirmed(Time at);

  // Returns starts that brought a customer above its limit: of the
  // configurations that may be in force, the highest counts.
  std::vector<std::string> FindExcess(
      const std::vector<CalledJob>& jobs,
      const standin::ClusterStandin& cluster) const;

 private:
  struct Revoked {
    std::string key;
    std::optional<Time> confirmed_at;
  };

  int64_t GetHighestLimit(Time at) const;

  mutable std::mutex m_mutex;
  std::mt19937 m_random;
  // That of the stand-in's first configuration.
  int m_version = 2;
  // The number of the present key of each customer.
  std::map<std::string, int> m_key_numbers{{"limited", 0}, {"unlimited", 0}};
  std::vector<Revoked> m_revoked;
  int64_t m_limit_cpu_milli = 3'000;
  // Limits by the time of their confirmation.
  std::map<Time, int64_t> m_limits;
};

}  // namespace shallotwick::soak
