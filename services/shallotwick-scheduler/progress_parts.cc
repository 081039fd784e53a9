#include "progress_parts.h"

#include "job_tables.h"

namespace shallotwick::scheduler {

void ProgressParts::OnLoaded(const std::string& job, const std::string& part,
                             const std::string& text) {
  m_parts[job][part] = text;
}

const std::map<std::string, std::string>& ProgressParts::GetParts(
    const std::string& job) const {
  static const std::map<std::string, std::string> kNone;
  const auto found = m_parts.find(job);
  return found == m_parts.end() ? kNone : found->second;
}

void ProgressParts::AddChanges(const std::string& job,
                               const scheduling::ProgressRows& rows,
                               storage::RowTransaction& transaction) const {
  const std::map<std::string, std::string>& stored = GetParts(job);
  for (const auto& [part, text] : rows.parts) {
    const auto found = stored.find(part);
    if (found == stored.end() || found->second != text) {
      transaction.writes.push_back(
          {MakeProgressPartKey(m_service, job, part), text});
    }
  }
}

void ProgressParts::OnStored(const std::string& job,
                             const scheduling::ProgressRows& rows) {
  if (rows.parts.empty() && m_parts.count(job) == 0) {
    return;
  }
  std::map<std::string, std::string>& stored = m_parts[job];
  for (auto& [part, text] : stored) {
    const auto found = rows.parts.find(part);
    // Texts of parts that the record no longer names are not needed.
    text = found == rows.parts.end() ? "" : found->second;
  }
  stored.insert(rows.parts.begin(), rows.parts.end());
}

void ProgressParts::OnUncertain(const std::string& job,
                                const scheduling::ProgressRows& rows) {
  if (rows.parts.empty() && m_parts.count(job) == 0) {
    return;
  }
  std::map<std::string, std::string>& stored = m_parts[job];
  for (const auto& [part, text] : rows.parts) {
    stored[part];
  }
  for (auto& [part, text] : stored) {
    text.clear();
  }
}

std::vector<std::string> ProgressParts::ListJobs() const {
  std::vector<std::string> jobs;
  for (const auto& [job, parts] : m_parts) {
    jobs.push_back(job);
  }
  return jobs;
}

std::vector<storage::RowKey> ProgressParts::ListRows(const std::string& job,
                                                     size_t limit) const {
  std::vector<storage::RowKey> rows;
  for (const auto& [part, text] : GetParts(job)) {
    if (rows.size() < limit) {
      rows.push_back(MakeProgressPartKey(m_service, job, part));
    }
  }
  return rows;
}

void ProgressParts::OnRemoved(const std::vector<storage::RowKey>& rows) {
  for (const storage::RowKey& row : rows) {
    const auto [job, part] = SplitProgressKey(row.key);
    const auto found = m_parts.find(job);
    if (found != m_parts.end() && found->second.erase(part) > 0 &&
        found->second.empty()) {
      m_parts.erase(found);
    }
  }
}

}  // namespace shallotwick::scheduler
