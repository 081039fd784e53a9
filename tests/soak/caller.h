#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "keep_alive_connection.h"

namespace shallotwick::soak {

// The addresses of the processes; empty for one that is not there.
class AddressBook {
 public:
  explicit AddressBook(size_t hosts) : m_addresses(hosts) {}
  void Set(size_t host, const std::string& address);
  std::string Get(size_t host) const;
  size_t GetCount() const { return m_addresses.size(); }

 private:
  mutable std::mutex m_mutex;
  std::vector<std::string> m_addresses;
};

// What each task requests of a processor, in thousandths.
inline constexpr int64_t kTaskCpuMilli = 500;

// A job as its caller knows it.
struct CalledJob {
  using Time = std::chrono::steady_clock::time_point;
  std::string id;
  // The number of its caller.
  int caller = 0;
  // The tasks of each step, in order.
  std::vector<int> counts;
  bool is_accepted = false;
  Time accepted_at;
  // At least one attempt had neither a refusal nor a confirmation.
  bool is_unknown = false;
  bool is_cancel_asked = false;
  Time cancel_asked_at;
  bool is_cancel_confirmed = false;
  Time cancel_confirmed_at;
  std::string state;
  // When and by which host it was first shown as completed.
  std::optional<Time> shown_completed_at;
  size_t shown_completed_by = 0;
};

std::string MakeTaskName(const CalledJob& job, size_t step, int index);

// Hands in jobs, asks for their state and cancels some.
class Caller {
 public:
  // Each job's specification has that many bytes.
  Caller(const AddressBook& addresses, uint32_t seed, int number,
         size_t spec_bytes);

  // Returns the caller's key; without this, calls carry none.
  std::function<std::string()> m_get_key;
  // Returns a key that must admit no call; without this, none is tried.
  std::function<std::string()> m_draw_forbidden_key;

  // One round: a new job at times, a question or a cancellation, and a question
  // about one of the newest jobs.
  void Act();
  // Asks for the states of jobs that are not over. Returns whether all that
  // were accepted are.
  bool AskForOpenJobs();
  std::vector<CalledJob>& GetJobs() { return m_jobs; }
  // Returns which calls with forbidden keys were answered.
  const std::vector<std::string>& GetAdmittedCalls() const {
    return m_admitted_calls;
  }
  int CountSilentCalls() const { return m_silent_calls; }

  KeepAliveConnection::Result Call(
      size_t host, const std::string& method, const std::string& path,
      const std::string& body = "",
      std::chrono::milliseconds limit = kAnswerLimit);

 private:
  // Longer than a process is stopped for.
  static constexpr std::chrono::milliseconds kAnswerLimit{25'000};

  KeepAliveConnection::Result CallWithHeaders(size_t host,
                                              const std::string& method,
                                              const std::string& path,
                                              const std::string& body,
                                              std::chrono::milliseconds limit,
                                              const http::Headers& headers);

  // Asks for the number of waiting jobs with a forbidden key.
  void TryForbiddenKey();
  void HandIn();
  // Hands the job in and leaves soon; without an answer, cancels it at another
  // process. Returns whether that was tried.
  bool HandInAndLeave(CalledJob& job, const std::string& body);
  // Hands in a job that fits on no executor, and never asks for it.
  void HandInOversizedJob();
  void Ask(CalledJob& job, size_t host);
  void AskForNewJob();
  void Cancel(CalledJob& job);
  size_t Draw(size_t most);

  const AddressBook& m_addresses;
  std::mt19937 m_random;
  // Apart, so that these calls don't change the others of a seed.
  std::mt19937 m_odd_random;
  int m_oversized_jobs = 0;
  int m_number;
  size_t m_spec_bytes;
  int m_silent_calls = 0;
  std::vector<std::string> m_admitted_calls;
  std::vector<CalledJob> m_jobs;
  std::map<size_t, std::unique_ptr<KeepAliveConnection>> m_connections;
};

// Whether a state is a last one.
bool IsOver(const std::string& state);

}  // namespace shallotwick::soak
