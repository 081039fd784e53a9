#pragma once

#include <vector>

#include "base/settings.h"
#include "customers/call_admission.h"

namespace shallotwick::scheduler {

// Returns the declarations of the scheduler's settings.
std::vector<base::SettingDeclaration> GetSettings();

// Returns how long a revoked key may admit calls, by the settings.
customers::AdmissionPolicy MakeAdmissionPolicy(const base::Settings& settings);

}  // namespace shallotwick::scheduler
