#pragma once

#include <compare>
#include <map>
#include <string>

#include "scheduling/progress.h"

namespace shallotwick::scheduling {

// Bounds the rows below. The table service takes values of up to 64 KiB in
// base64.
inline constexpr size_t kMaxProgressRowBytes = size_t{48} * 1024;

// The stored form of a job's progress. Its rows stay bounded, whatever the
// number of tasks, failed runs and checkpoints.
struct ProgressRows {
  // As DecodeSummary reads it.
  std::string record;
  // What does not fit into the record, by the name of the part. The record
  // names the parts that belong to it.
  std::map<std::string, std::string> parts;

  auto operator<=>(const ProgressRows&) const = default;
};

// Small progress is written as by EncodeProgress, which earlier versions read
// too. They refuse to read the other form, and leave the job alone.
ProgressRows EncodeProgressRows(const JobProgress& progress);

// Reads both forms. Throws std::runtime_error if a row is malformed or missing.
JobProgress DecodeProgressRows(const JobSpec& job, const ProgressRows& rows);

}  // namespace shallotwick::scheduling
