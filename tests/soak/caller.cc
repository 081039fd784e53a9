#include "caller.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace shallotwick::soak {
namespace {

using nlohmann::json;

constexpr int kMostAttempts = 6;
// One of this many newest jobs is asked for in each round.
constexpr size_t kNewJobs = 8;
constexpr auto kRetryAfter = std::chrono::milliseconds(150);
// How long callers wait who leave early, and one of how many does.
constexpr auto kEarlyLimit = std::chrono::milliseconds(300);
constexpr int kCallersPerEarlyOne = 6;
constexpr size_t kUsualSpecBytes = 4;
constexpr int kJobsPerOversizedOne = 4;
constexpr int64_t kOversizedCpuMilli = 10'000'000;

http::Headers MakeKeyHeader(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

}  // namespace

std::string MakeTaskName(const CalledJob& job, size_t step, int index) {
  return job.id + ".0." + std::to_string(step) + "." + std::to_string(index);
}

bool IsOver(const std::string& state) {
  return state == "completed" || state == "cancelled" || state == "failed";
}

void AddressBook::Set(size_t host, const std::string& address) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_addresses[host] = address;
}

std::string AddressBook::Get(size_t host) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_addresses[host];
}

Caller::Caller(const AddressBook& addresses, uint32_t seed, int number,
               size_t spec_bytes)
    : m_addresses(addresses),
      m_random(seed * 100 + static_cast<uint32_t>(number)),
      m_odd_random(seed * 100 + static_cast<uint32_t>(number)),
      m_number(number),
      m_spec_bytes(spec_bytes) {}

size_t Caller::Draw(size_t most) {
  return std::uniform_int_distribution<size_t>(0, most)(m_random);
}

KeepAliveConnection::Result Caller::Call(size_t host, const std::string& method,
                                         const std::string& path,
                                         const std::string& body,
                                         std::chrono::milliseconds limit) {
  return CallWithHeaders(
      host, method, path, body, limit,
      m_get_key ? MakeKeyHeader(m_get_key()) : http::Headers{});
}

void Caller::TryForbiddenKey() {
  const std::string key = m_draw_forbidden_key();
  const size_t host = m_odd_random() % m_addresses.GetCount();
  const auto result = CallWithHeaders(host, "GET", "/quote/", "", kAnswerLimit,
                                      MakeKeyHeader(key));
  if (result.outcome == KeepAliveConnection::Outcome::kComplete &&
      result.response.status / 100 == 2) {
    m_admitted_calls.push_back(key + " by host-" + std::to_string(host));
  }
}

KeepAliveConnection::Result Caller::CallWithHeaders(
    size_t host, const std::string& method, const std::string& path,
    const std::string& body, std::chrono::milliseconds limit,
    const http::Headers& headers) {
  const std::string address = m_addresses.Get(host);
  if (address.empty()) {
    return {};
  }
  auto& connection = m_connections[host];
  if (!connection || connection->GetAddress() != address) {
    connection = std::make_unique<KeepAliveConnection>(address);
  }
  auto result = connection->Call(method, path, body, limit, headers);
  m_silent_calls += result.has_timed_out && limit == kAnswerLimit ? 1 : 0;
  return result;
}

void Caller::Act() {
  if (m_draw_forbidden_key) {
    TryForbiddenKey();
  }
  AskForNewJob();
  const size_t kind = Draw(9);
  if (kind < 4 || m_jobs.empty()) {
    HandIn();
    return;
  }
  CalledJob& job = m_jobs[Draw(m_jobs.size() - 1)];
  if (kind == 4 && job.is_accepted && Draw(1) == 0) {
    Cancel(job);
  } else if (job.is_accepted) {
    Ask(job, Draw(m_addresses.GetCount() - 1));
  }
}

void Caller::HandIn() {
  CalledJob job;
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%04x%04x%08zx",
                static_cast<unsigned>(m_number), 0xbeefU, m_jobs.size());
  job.id = id.data();
  job.caller = m_number;
  json steps = json::array();
  const size_t count = 1 + Draw(2);
  for (size_t i = 0; i < count; ++i) {
    job.counts.push_back(1 + static_cast<int>(Draw(3)));
    json step = {{"count", job.counts.back()},
                 {"cpu", kTaskCpuMilli},
                 {"memMb", 100},
                 {"estMs", 400}};
    if (i > 0) {
      step["after"] = {i - 1};
    }
    steps.push_back(step);
  }
  const std::string body =
      json{{"spec", std::string(m_spec_bytes, 't')}, {"steps", steps}}.dump();
  const size_t repeats = Draw(9) == 0 ? 1 : 0;
  const bool has_wide_link = m_spec_bytes <= kUsualSpecBytes;
  if (has_wide_link && m_odd_random() % kJobsPerOversizedOne == 0) {
    HandInOversizedJob();
  }
  // An owner behind a narrow link learns late of a cancellation.
  if (has_wide_link && m_odd_random() % kCallersPerEarlyOne == 0 &&
      HandInAndLeave(job, body)) {
    m_jobs.push_back(job);
    return;
  }
  for (int attempt = 0; attempt < kMostAttempts && !job.is_accepted;
       ++attempt) {
    const size_t host = Draw(m_addresses.GetCount() - 1);
    const auto result = Call(host, "POST", "/quote/" + job.id, body);
    const int status = result.response.status;
    if (result.outcome == KeepAliveConnection::Outcome::kComplete &&
        status / 100 == 2) {
      job.is_accepted = true;
      job.accepted_at = std::chrono::steady_clock::now();
      break;
    }
    const bool is_refused =
        result.outcome == KeepAliveConnection::Outcome::kNotSent ||
        (result.outcome == KeepAliveConnection::Outcome::kComplete &&
         (status == 401 || status == 429 || status == 503));
    job.is_unknown = job.is_unknown || !is_refused;
    std::this_thread::sleep_for(kRetryAfter);
  }
  // It remains one job.
  for (size_t i = 0; i < repeats && job.is_accepted; ++i) {
    Call(Draw(m_addresses.GetCount() - 1), "POST", "/quote/" + job.id, body);
  }
  m_jobs.push_back(job);
}

bool Caller::HandInAndLeave(CalledJob& job, const std::string& body) {
  const size_t hosts = m_addresses.GetCount();
  const size_t host = m_odd_random() % hosts;
  const auto sent = Call(host, "POST", "/quote/" + job.id, body, kEarlyLimit);
  if (sent.outcome == KeepAliveConnection::Outcome::kNotSent ||
      !sent.has_timed_out) {
    job.is_unknown = sent.outcome != KeepAliveConnection::Outcome::kNotSent;
    return false;
  }
  job.is_unknown = true;
  job.is_cancel_asked = true;
  job.cancel_asked_at = std::chrono::steady_clock::now();
  const auto cancelled = Call((host + 1) % hosts, "DELETE", "/quote/" + job.id);
  job.is_cancel_confirmed =
      cancelled.outcome == KeepAliveConnection::Outcome::kComplete &&
      (cancelled.response.status / 100 == 2 ||
       cancelled.response.status == 410);
  job.cancel_confirmed_at = std::chrono::steady_clock::now();
  return true;
}

// Each asks for another size, so that none stands for all.
void Caller::HandInOversizedJob() {
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%04xdead%08x",
                static_cast<unsigned>(m_number),
                static_cast<unsigned>(m_oversized_jobs));
  ++m_oversized_jobs;
  const json step = {{"count", 1},
                     {"cpu", kOversizedCpuMilli - m_oversized_jobs -
                                 int64_t{1'000} * m_number},
                     {"memMb", 100},
                     {"estMs", 400}};
  const std::string body = json{{"spec", "text"}, {"steps", {step}}}.dump();
  Call(m_odd_random() % m_addresses.GetCount(), "POST",
       std::string("/quote/") + id.data(), body);
}

void Caller::Ask(CalledJob& job, size_t host) {
  const auto result = Call(host, "GET", "/quote/" + job.id);
  const json body = json::parse(result.response.body, nullptr, false);
  if (result.outcome == KeepAliveConnection::Outcome::kComplete &&
      result.response.status == 200 && body.is_object()) {
    job.state = body.value("state", "");
    if (job.state == "completed" && !job.shown_completed_at) {
      job.shown_completed_at = std::chrono::steady_clock::now();
      job.shown_completed_by = host;
    }
  } else if (result.outcome == KeepAliveConnection::Outcome::kComplete &&
             result.response.status == 410) {
    job.state = "gone";
  }
}

void Caller::AskForNewJob() {
  for (size_t i = m_jobs.size() - std::min(m_jobs.size(), kNewJobs);
       i < m_jobs.size(); ++i) {
    if (m_jobs[i].is_accepted && !IsOver(m_jobs[i].state)) {
      Ask(m_jobs[i], Draw(m_addresses.GetCount() - 1));
      return;
    }
  }
}

void Caller::Cancel(CalledJob& job) {
  if (!std::exchange(job.is_cancel_asked, true)) {
    job.cancel_asked_at = std::chrono::steady_clock::now();
  }
  const auto result =
      Call(Draw(m_addresses.GetCount() - 1), "DELETE", "/quote/" + job.id);
  const bool is_confirmed =
      result.outcome == KeepAliveConnection::Outcome::kComplete &&
      result.response.status / 100 == 2;
  if (is_confirmed && !job.is_cancel_confirmed) {
    job.is_cancel_confirmed = true;
    job.cancel_confirmed_at = std::chrono::steady_clock::now();
  }
}

bool Caller::AskForOpenJobs() {
  bool are_over = true;
  for (CalledJob& job : m_jobs) {
    if (job.is_accepted && !IsOver(job.state)) {
      Ask(job, Draw(m_addresses.GetCount() - 1));
      are_over = are_over && IsOver(job.state);
    }
  }
  return are_over;
}

}  // namespace shallotwick::soak
