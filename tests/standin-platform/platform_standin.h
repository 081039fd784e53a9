#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/periodic_task.h"
#include "base/runtime_clock.h"
#include "fakes/fake_host_list.h"
#include "fakes/fake_table_service.h"
#include "http/server.h"

namespace shallotwick::standin {

// What the stand-in does with calls to it, switched by POST /standin/faults.
struct PlatformFaults {
  // "none", "down" (refused at once), "freeze" (never answered) or
  // "lose-answers" (commits take effect and are not answered).
  std::string mode = "none";
  std::chrono::milliseconds delay{0};

  auto operator<=>(const PlatformFaults&) const = default;
};

// The platform's services over HTTP, kept in memory.
class PlatformStandin {
 public:
  // `executor_control` is told of reboots, if not empty.
  PlatformStandin(std::string executor_control,
                  std::chrono::milliseconds reboot_time);
  ~PlatformStandin();

  void Handle(const http::Request& request, http::Respond respond);

 private:
  struct Delayed {
    base::TimePoint due;
    http::Respond respond;
    http::Response response;
  };

  http::Response Serve(const http::Request& request);
  http::Response ServeTable(const std::string& path,
                            const http::Request& request);
  http::Response ServeHosts(const std::vector<std::string>& path,
                            const http::Request& request);
  http::Response ServeObject(const std::string& key,
                             const http::Request& request);
  http::Response ServeControl(const std::vector<std::string>& path,
                              const http::Request& request);
  void BeginReboot(const std::string& host);
  void Answer(const PlatformFaults& faults, http::Respond respond,
              http::Response response);
  base::Duration RunDue();

  std::string m_executor_control;
  std::chrono::milliseconds m_reboot_time;
  fakes::FakeTableService m_table;
  fakes::FakeObjectStore m_objects;
  fakes::FakeHostList m_hosts;
  std::mutex m_mutex;
  PlatformFaults m_faults;
  std::set<std::string> m_broken_hosts;
  std::vector<http::Respond> m_frozen;
  std::deque<Delayed> m_delayed;
  std::vector<std::pair<base::TimePoint, std::string>> m_reboots;
  base::PeriodicTask m_due;
};

}  // namespace shallotwick::standin
