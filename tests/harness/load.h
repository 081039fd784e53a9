#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace shallotwick::harness {

struct LoadOptions {
  std::vector<std::string> gateway_addresses;
  std::string service;
  int threads = 4;
  int work_milliseconds = 2;
  // Every so many requests one is not idempotent; 0 for none.
  int post_every = 4;
  std::string prefix = "r";
  // Pause between the requests of a thread.
  int pause_milliseconds = 0;
};

// What callers saw.
struct LoadResult {
  uint64_t sent = 0;
  uint64_t complete = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  // The connection to the gateway broke, or it was not reached.
  uint64_t no_answer = 0;
  // Answers that were not the whole answer to their own request.
  uint64_t wrong_answers = 0;
  std::map<std::string, uint64_t> reasons;
  // Identities of requests that were answered as not run, and of those that
  // were answered as complete.
  std::vector<std::string> not_run_requests;
  std::vector<std::string> complete_requests;
};

// Callers on threads of their own, each with one request at a time, going round
// the gateways. Runs until Stop().
class Load {
 public:
  explicit Load(LoadOptions options);
  ~Load();

  uint64_t GetSent() const { return m_sent.load(); }
  LoadResult Stop();

 private:
  void RunThread(int number);
  void SendOne(const std::string& request, bool is_post, size_t gateway);

  LoadOptions m_options;
  std::atomic<bool> m_stopping{false};
  std::atomic<uint64_t> m_sent{0};
  std::mutex m_mutex;
  LoadResult m_result;
  std::vector<std::thread> m_threads;
};

}  // namespace shallotwick::harness
