#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace shallotwick::standin {

// What the executors did, by the identity that each request carries. Safe to
// use from several threads.
class ExecutorRecord {
 public:
  void RecordStart(const std::string& request, const std::string& host);
  void RecordEnd(const std::string& request);
  void RecordRefusal();
  // A reboot ended requests that were running.
  void RecordCut(int requests);

  std::string FormatJson(bool with_requests) const;
  void Clear();

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, int> m_starts;
  std::map<std::string, int> m_ends;
  std::map<std::string, int> m_starts_by_host;
  int m_refusals = 0;
  int m_cut_by_reboot = 0;
  int m_reboots = 0;
};

}  // namespace shallotwick::standin
