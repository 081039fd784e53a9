#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "customers/call_admission.h"
#include "http/server.h"
#include "job_service.h"
#include "job_state_lookup.h"
#include "scheduling/serving_config.h"

namespace shallotwick::scheduler {

// The HTTP interface of jobs: submits, shows, cancels and counts them. Runs on
// the event loop.
class JobApi {
 public:
  JobApi(JobService& jobs, JobStateLookup& states,
         base::MetricRegistry& metrics);

  // Returns the fleet-wide time of day in milliseconds since the Unix epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // Returns the current configuration, or null before the first one is
  // received.
  std::function<const scheduling::ServingConfig*()> m_get_config;
  // How long ago the current configuration was certainly the newest one.
  std::function<base::Duration()> m_get_config_age = [] {
    return base::Duration(0);
  };
  customers::AdmissionPolicy m_admission_policy;
  // Whether the store is reachable. If not, states of jobs are shown and jobs
  // accepted with the help of other hosts; other requests are refused
  // immediately.
  std::function<bool()> m_is_store_reachable;
  // How long the store has been away; zero if it is not.
  std::function<base::Duration()> m_get_outage_age = [] {
    return base::Duration(0);
  };

  // Returns the services that may have jobs of the route, the present one
  // first; std::nullopt if they are not known.
  std::function<std::optional<std::vector<std::string>>(
      const scheduling::Route&)>
      m_list_services = [](const scheduling::Route& route) {
        return std::vector<std::string>{route.service};
      };

  // Returns whether a job of the pool can be stored at present.
  std::function<bool(const std::string& pool)> m_can_submit;
  // Stores an accepted job.
  std::function<void(const std::string& pool, const scheduling::JobSpec& job,
                     JobService::OnOutcome on_done)>
      m_submit;

  void Handle(const http::Request& request, const http::Respond& respond);
  // Returns whether there is a configuration, and it is recent enough for calls
  // that need a key.
  bool CanAdmitCalls() const;

 private:
  // Returns the customer whose call this is, empty if its route needs no key;
  // std::nullopt after a response that refuses the call.
  std::optional<std::string> Admit(const http::Request& request,
                                   const scheduling::Route& route,
                                   const http::Respond& respond);
  // Limits the lines about refused keys.
  void LogUnauthorized(const scheduling::Route& route, const char* reason);
  // Returns whether the request can be served without waiting for the store to
  // come back.
  bool CanServe(const http::Request& request, const scheduling::Route& route,
                const std::string& id) const;
  void Submit(const scheduling::Route& route, const std::string& id,
              const std::string& customer, const http::Request& request,
              const http::Respond& respond);
  void Show(const scheduling::Route& route, const std::string& id,
            const http::Respond& respond);
  void Cancel(const scheduling::Route& route, const std::string& id,
              const http::Respond& respond);
  void Count(const scheduling::Route& route, const http::Respond& respond);
  // Lists the route's services first, then all others.
  std::vector<std::string> ListServices(const scheduling::Route& route) const;
  http::Response Refuse(const char* reason);
  http::Response MakeResponse(const char* call, const std::string& id,
                              JobCallOutcome outcome, http::Response done);

  JobService& m_jobs;
  JobStateLookup& m_states;
  base::MetricRegistry& m_metrics;
  base::TimePoint m_unauthorized_logged_at;
};

}  // namespace shallotwick::scheduler
