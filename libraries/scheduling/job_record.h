#pragma once

#include <string>

#include "scheduling/job.h"

namespace shallotwick::scheduling {

// Returns the stored form of a job's specification.
std::string EncodeJobRecord(const JobSpec& job);

// Throws std::runtime_error if the text is not a valid job record.
JobSpec DecodeJobRecord(const std::string& text);

}  // namespace shallotwick::scheduling
