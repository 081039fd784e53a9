#include "customer_keys.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace shallotwick::soak {
namespace {

using nlohmann::json;

// An owner that is cut off may have an older configuration for that long: its
// leases end with its session.
constexpr auto kOldLimitTime = std::chrono::seconds(12);

bool IsLimited(int caller) { return caller % 2 == 1; }

const char* NameCustomer(int caller) {
  return IsLimited(caller) ? "limited" : "unlimited";
}

std::string MakeKey(const std::string& customer, int number) {
  return customer + "-key-" + std::to_string(number);
}

}  // namespace

std::string CustomerKeys::GetKey(int caller) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const std::string customer = NameCustomer(caller);
  return MakeKey(customer, m_key_numbers.at(customer));
}

std::string CustomerKeys::DrawForbiddenKey() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::string> keys = {"never-a-key"};
  for (const Revoked& revoked : m_revoked) {
    if (revoked.confirmed_at && now > *revoked.confirmed_at + kRevocationTime) {
      keys.push_back(revoked.key);
    }
  }
  return keys[m_random() % keys.size()];
}

std::string CustomerKeys::MakeNextConfig(bool is_over) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_version;
  if (m_random() % 2 == 0) {
    const std::string customer = NameCustomer(static_cast<int>(m_random() % 2));
    int& number = m_key_numbers[customer];
    m_revoked.push_back({MakeKey(customer, number), std::nullopt});
    ++number;
  } else {
    m_limit_cpu_milli = 1'000 + 500 * static_cast<int64_t>(m_random() % 8);
  }
  m_limit_cpu_milli = is_over ? 0 : m_limit_cpu_milli;
  json customers = json::array();
  for (const auto& [name, number] : m_key_numbers) {
    json customer = {
        {"name", name}, {"apiKeys", {MakeKey(name, number)}}, {"weight", 5}};
    if (name == "limited") {
      customer["maxCount"] = {
          {"cpu", m_limit_cpu_milli}, {"memMb", 0}, {"gpu", 0}};
    }
    customers.push_back(customer);
  }
  json config = json::parse(standin::kConfig);
  config["version"] = m_version;
  config["tenants"] = customers;
  return config.dump();
}

void CustomerKeys::OnConfirmed(Time at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (Revoked& revoked : m_revoked) {
    revoked.confirmed_at = revoked.confirmed_at.value_or(at);
  }
  m_limits[at] = m_limit_cpu_milli;
}

int64_t CustomerKeys::GetHighestLimit(Time at) const {
  int64_t highest = 0;
  bool is_unlimited = m_limits.empty() || at < m_limits.begin()->first;
  for (auto limit = m_limits.begin(); limit != m_limits.end(); ++limit) {
    const auto next = std::next(limit);
    const bool may_be_in_force =
        limit->first <= at &&
        (next == m_limits.end() || at < next->first + kOldLimitTime);
    if (may_be_in_force) {
      highest = std::max(highest, limit->second);
      is_unlimited = is_unlimited || limit->second == 0;
    }
  }
  return is_unlimited ? std::numeric_limits<int64_t>::max() : highest;
}

std::vector<std::string> CustomerKeys::FindExcess(
    const std::vector<CalledJob>& jobs,
    const standin::ClusterStandin& cluster) const {
  std::set<std::string> limited;
  for (const CalledJob& job : jobs) {
    if (IsLimited(job.caller)) {
      limited.insert(job.id);
    }
  }
  std::vector<std::string> broken;
  int64_t used = 0;
  for (const standin::RunEvent& event : cluster.GetEvents()) {
    if (limited.count(event.task.substr(0, event.task.find('.'))) == 0) {
      continue;
    }
    used += event.what == "start" ? kTaskCpuMilli : -kTaskCpuMilli;
    const int64_t limit = GetHighestLimit(event.at);
    if (event.what == "start" && used > limit) {
      broken.push_back("start beyond its customer's limit of " +
                       std::to_string(limit) + ": " + event.task + " run " +
                       std::to_string(event.run) + ", in use " +
                       std::to_string(used));
    }
  }
  return broken;
}

}  // namespace shallotwick::soak
