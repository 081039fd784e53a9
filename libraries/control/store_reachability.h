#pragma once

#include <atomic>
#include <string>

namespace shallotwick::control {

// Tracks whether the table service responds to this process, and logs each
// transition between reachable and unreachable once.
class StoreReachability {
 public:
  explicit StoreReachability(std::string address);

  void ReportStoreResponse();
  void ReportFailure(const std::string& error);
  bool IsReachable() const { return m_reachable.load(); }

 private:
  std::string m_address;
  std::atomic<bool> m_reachable{true};
};

}  // namespace shallotwick::control
