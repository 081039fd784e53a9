#pragma once

#include <map>
#include <string>
#include <vector>

#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Returns the values of the roster's rows, at least one. `roster`: addresses of
// targets by id.
std::vector<std::string> EncodeRoster(
    const std::map<std::string, std::string>& roster);
// Returns the addresses of the targets by id; empty for an address that no
// order can be sent to. Such a target may still have runs. Logs the fault of a
// row that is malformed.
std::map<std::string, std::string> DecodeRoster(
    const storage::VersionedRow& row);

}  // namespace shallotwick::scheduler
