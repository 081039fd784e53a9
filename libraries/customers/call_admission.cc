#include "customers/call_admission.h"

#include <strings.h>

namespace shallotwick::customers {
namespace {

constexpr char kScheme[] = "Bearer ";
constexpr size_t kSchemeBytes = sizeof(kScheme) - 1;
// Steady clocks of hosts and store run at rates that differ by less than this
// share.
constexpr double kClockMargin = 0.9;
// Longer than the intervals at which a host confirms its configuration, and
// shorter than the time in which a new one must take effect.
constexpr auto kMaxAgeForRejection = std::chrono::milliseconds(2'500);

// Returns the key of a header of the form "Bearer KEY"; empty if it has none.
std::string ParseBearerKey(const std::string& authorization) {
  if (authorization.size() <= kSchemeBytes ||
      strncasecmp(authorization.c_str(), kScheme, kSchemeBytes) != 0) {
    return "";
  }
  const size_t begin = authorization.find_first_not_of(' ', kSchemeBytes);
  return begin == std::string::npos ? "" : authorization.substr(begin);
}

Admission Reject(base::Duration config_age, const char* reason) {
  return CanRejectUnknown(config_age)
             ? Admission{AdmissionOutcome::kUnauthorized, reason, ""}
             : Admission{AdmissionOutcome::kUncertain, "config-uncertain", ""};
}

}  // namespace

bool CanAdmit(const AdmissionPolicy& policy, base::Duration config_age) {
  return policy.max_revocation_time == base::Duration(0) ||
         static_cast<double>(config_age.count()) <
             kClockMargin *
                 static_cast<double>(policy.max_revocation_time.count());
}

bool CanRejectUnknown(base::Duration config_age) {
  return config_age < kMaxAgeForRejection;
}

Admission AdmitCall(const CustomerRegistry& registry,
                    const AdmissionPolicy& policy,
                    const CallCredentials& credentials,
                    base::Duration config_age) {
  if (!registry.RequiresKeys() || credentials.is_route_public) {
    return {};
  }
  // No configuration accepts these.
  if (!credentials.authorization) {
    return {AdmissionOutcome::kUnauthorized, "key-missing", ""};
  }
  const std::string key = ParseBearerKey(*credentials.authorization);
  if (key.empty()) {
    return {AdmissionOutcome::kUnauthorized, "key-malformed", ""};
  }
  const Customer* customer = registry.FindByKey(key);
  if (customer == nullptr) {
    return Reject(config_age, "key-unknown");
  }
  // The key may have been revoked since.
  if (!CanAdmit(policy, config_age)) {
    return {AdmissionOutcome::kUncertain, "config-uncertain", ""};
  }
  return {AdmissionOutcome::kAdmitted, "", customer->name};
}

}  // namespace shallotwick::customers
