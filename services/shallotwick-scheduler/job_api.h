#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "http/server.h"
#include "job_service.h"
#include "scheduling/serving_config.h"

namespace shallotwick::scheduler {

// Callers' interface to jobs, over HTTP: hands in, shows, cancels and counts
// them. Runs on the event loop.
class JobApi {
 public:
  JobApi(JobService& jobs, base::MetricRegistry& metrics);

  // The time of day that all hosts agree on, in milliseconds since the Unix
  // epoch.
  std::function<int64_t()> m_get_unix_ms = base::WallClockMilliseconds;
  // The configuration in force; null before the first.
  std::function<const scheduling::ServingConfig*()> m_get_config;
  // Whether the store answers; jobs are refused at once if it does not.
  std::function<bool()> m_is_store_reachable;

  void Handle(const http::Request& request, const http::Respond& respond);

 private:
  void Submit(const scheduling::Route& route, const std::string& id,
              const http::Request& request, const http::Respond& respond);
  void Show(const scheduling::Route& route, const std::string& id,
            const http::Respond& respond);
  void Cancel(const scheduling::Route& route, const std::string& id,
              const http::Respond& respond);
  void Count(const scheduling::Route& route, const http::Respond& respond);
  // The route's service first, then the others.
  std::vector<std::string> ListServices(const scheduling::Route& route) const;
  http::Response Refuse(const char* reason);
  http::Response MakeAnswer(const char* call, const std::string& id,
                            JobCallOutcome outcome, http::Response done);

  JobService& m_jobs;
  base::MetricRegistry& m_metrics;
};

}  // namespace shallotwick::scheduler
