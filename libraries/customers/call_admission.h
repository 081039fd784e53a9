#pragma once

#include <compare>
#include <optional>
#include <string>

#include "base/runtime_clock.h"
#include "customers/customer_registry.h"

namespace shallotwick::customers {

enum class AdmissionOutcome {
  kAdmitted,
  // No customer of the configuration in force has the key.
  kUnauthorized,
  // The configuration of this host may be outdated. Another host may know.
  kUncertain,
};

struct Admission {
  AdmissionOutcome outcome = AdmissionOutcome::kAdmitted;
  // Why the call is not admitted: a label for logs and metrics.
  const char* reason = "";
  // The customer whose key the call carries; empty if none is needed.
  std::string customer;

  auto operator<=>(const Admission&) const = default;
};

struct AdmissionPolicy {
  // How long a revoked key may still admit calls, at most; zero if that is not
  // bounded.
  base::Duration max_revocation_time{0};

  auto operator<=>(const AdmissionPolicy&) const = default;
};

struct CallCredentials {
  // The route takes calls without a key.
  bool is_route_public = false;
  // The value of the call's Authorization header.
  std::optional<std::string> authorization;
};

// Decides whether a call may be handled. `config_age`: how long ago the
// configuration was certainly the newest one.
Admission AdmitCall(const CustomerRegistry& registry,
                    const AdmissionPolicy& policy,
                    const CallCredentials& credentials,
                    base::Duration config_age);

// Returns whether a host that last knew the newest configuration `config_age`
// ago may admit calls that need a key.
bool CanAdmit(const AdmissionPolicy& policy, base::Duration config_age);

// Returns whether what the configuration lacks may be counted as unknown. If
// not, a newer configuration may have it.
bool CanRejectUnknown(base::Duration config_age);

}  // namespace shallotwick::customers
