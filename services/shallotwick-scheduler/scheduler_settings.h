#pragma once

#include <vector>

#include "base/settings.h"

namespace shallotwick::scheduler {

// Returns the declarations of the scheduler's settings.
std::vector<base::SettingDeclaration> GetSettings();

}  // namespace shallotwick::scheduler
