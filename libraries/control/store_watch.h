#pragma once

#include <atomic>
#include <string>

namespace shallotwick::control {

// Logs when the table service stops answering a process and when it answers
// again, once each.
class StoreWatch {
 public:
  explicit StoreWatch(std::string address);

  void ReportAnswer();
  void ReportFailure(const std::string& error);
  bool IsReachable() const { return m_reachable.load(); }

 private:
  std::string m_address;
  std::atomic<bool> m_reachable{true};
};

}  // namespace shallotwick::control
