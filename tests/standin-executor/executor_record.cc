#include "executor_record.h"

#include <nlohmann/json.hpp>

namespace shallotwick::standin {

void ExecutorRecord::RecordStart(const std::string& request,
                                 const std::string& host) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_starts[request];
  ++m_starts_by_host[host];
}

void ExecutorRecord::RecordEnd(const std::string& request) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_ends[request];
}

void ExecutorRecord::RecordRefusal() {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_refusals;
}

void ExecutorRecord::RecordCut(int requests) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_reboots;
  m_cut_by_reboot += requests;
}

std::string ExecutorRecord::FormatJson(bool with_requests) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  int started = 0;
  int started_again = 0;
  for (const auto& [request, starts] : m_starts) {
    started += starts;
    started_again += starts - 1;
  }
  nlohmann::json json = {{"started", started},
                         {"started_again", started_again},
                         {"refusals", m_refusals},
                         {"reboots", m_reboots},
                         {"cut_by_reboot", m_cut_by_reboot},
                         {"starts_by_host", m_starts_by_host}};
  if (with_requests) {
    json["starts"] = m_starts;
    json["ends"] = m_ends;
  }
  return json.dump();
}

void ExecutorRecord::Clear() {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_starts.clear();
  m_ends.clear();
  m_starts_by_host.clear();
  m_refusals = 0;
  m_cut_by_reboot = 0;
  m_reboots = 0;
}

}  // namespace shallotwick::standin
