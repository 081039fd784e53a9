#pragma once

#include <map>
#include <string>
#include <vector>

#include "scheduling/progress_rows.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// The part rows of a pool's progress as they are stored, so that only those
// that change are written, and none is left behind.
class ProgressParts {
 public:
  explicit ProgressParts(std::string service) : m_service(std::move(service)) {}

  // Takes over a part that was read.
  void OnLoaded(const std::string& job, const std::string& part,
                const std::string& text);
  // The parts of a job that were read.
  const std::map<std::string, std::string>& GetParts(
      const std::string& job) const;
  // Adds the parts of `rows` that are not stored. Others stay until the job's
  // record is removed.
  void AddChanges(const std::string& job, const scheduling::ProgressRows& rows,
                  storage::RowTransaction& transaction) const;
  // A transaction with these changes has been committed.
  void OnStored(const std::string& job, const scheduling::ProgressRows& rows);
  // A transaction with these changes may have been committed.
  void OnUncertain(const std::string& job,
                   const scheduling::ProgressRows& rows);
  // Returns the jobs that have part rows.
  std::vector<std::string> ListJobs() const;
  // Returns up to `limit` part rows of the job.
  std::vector<storage::RowKey> ListRows(const std::string& job,
                                        size_t limit) const;
  void OnRemoved(const std::vector<storage::RowKey>& rows);

 private:
  std::string m_service;
  // An empty text stands for an unknown one. No part is empty.
  std::map<std::string, std::map<std::string, std::string>> m_parts;
};

}  // namespace shallotwick::scheduler
