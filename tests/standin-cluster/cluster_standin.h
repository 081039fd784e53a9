#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/server.h"
#include "standin-cluster/executor_model.h"
#include "standin-cluster/row_table.h"

namespace shallotwick::standin {

// The users' platform in one process of a test: its store, its list of hosts
// and a few executors, spoken to by its published calls.
class ClusterStandin {
 public:
  // Executors serve one service, "quotes"; each run takes `run_ms`.
  ClusterStandin(int executors, int64_t run_ms);
  ~ClusterStandin();

  std::string GetAddress() const;
  // Answers each call to the store with 503 while set.
  void SetStoreDown(bool is_down) { m_is_store_down = is_down; }
  // Each n-th write is done and not answered; 0 for none.
  void LoseAnswers(int nth) { m_lose_nth = nth; }

  // All starts and ends that the executors saw, and tasks that ran twice at the
  // same time.
  std::vector<RunEvent> GetEvents() const;
  std::vector<std::string> GetDoubledTasks() const;

 private:
  struct Waiting {
    std::chrono::steady_clock::time_point until;
    std::function<bool(bool is_over)> try_answer;
  };

  void HandleStore(const http::Request& request, const http::Respond& respond);
  void HandleExecutor(ExecutorModel& executor, const http::Request& request,
                      const http::Respond& respond);
  void Advance();
  void RunClock();
  void WriteEntries();

  mutable std::mutex m_mutex;
  RowTable m_rows;
  std::vector<std::unique_ptr<ExecutorModel>> m_executors;
  std::list<Waiting> m_waiting;
  std::vector<std::string> m_doubled;
  std::atomic<bool> m_is_store_down{false};
  std::atomic<int> m_lose_nth{0};
  std::atomic<int> m_writes{0};
  std::atomic<bool> m_stopping{false};
  std::unique_ptr<http::Server> m_store_server;
  std::vector<std::unique_ptr<http::Server>> m_executor_servers;
  std::thread m_clock;
};

}  // namespace shallotwick::standin
