#pragma once

#include <vector>

#include "base/settings.h"

namespace shallotwick::scheduler {

// The settings of a scheduler process.
std::vector<base::SettingDeclaration> GetSettings();

}  // namespace shallotwick::scheduler
