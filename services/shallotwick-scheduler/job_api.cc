#include "job_api.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "base/random_identifier.h"
#include "platform/operator_codec.h"
#include "scheduling/job_record.h"
#include "storage/store_health.h"

namespace shallotwick::scheduler {
namespace {

constexpr size_t kIdentifierDigits = 16;
constexpr auto kUnauthorizedLogPeriod = std::chrono::milliseconds(100);

bool IsJobIdentifier(const std::string& text) {
  return text.size() == kIdentifierDigits &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= '0' && character <= '9') ||
                  (character >= 'a' && character <= 'f') ||
                  (character >= 'A' && character <= 'F');
         });
}

// Describes the job's scheduling parameters, limited in length to fit one log
// line.
std::string DescribeSteps(const scheduling::JobSpec& job) {
  constexpr size_t kMaxDescribedSteps = 6;
  std::string text;
  for (size_t i = 0; i < job.steps.size() && i < kMaxDescribedSteps; ++i) {
    const scheduling::StepSpec& step = job.steps[i];
    text += (i == 0 ? "" : ",") + std::to_string(step.count) + "x" +
            std::to_string(step.demand.cpu_milli) + "m/" +
            std::to_string(step.estimate_ms) + "ms";
    text += step.long_running ? "/long" : "";
    text += step.best_effort ? "/best-effort" : "";
    text += step.gang ? "/gang" : "";
    text += step.most_per_target > 0
                ? "/per-target-" + std::to_string(step.most_per_target)
                : "";
    text += step.disruption_budget > 0
                ? "/budget-" + std::to_string(step.disruption_budget)
                : "";
  }
  return text;
}

}  // namespace

JobApi::JobApi(JobService& jobs, JobStateLookup& states,
               base::MetricRegistry& metrics)
    : m_can_submit(
          [this](const std::string&) { return m_is_store_reachable(); }),
      m_submit([this](const std::string& pool, const scheduling::JobSpec& job,
                      JobService::OnOutcome on_done) {
        m_jobs.Submit(pool, job, std::move(on_done));
      }),
      m_jobs(jobs),
      m_states(states),
      m_metrics(metrics) {}

void JobApi::Handle(const http::Request& request,
                    const http::Respond& respond) {
  const scheduling::ServingConfig* config = m_get_config();
  if (config == nullptr) {
    respond(Refuse("no-config"));
    return;
  }
  const std::string path = http::GetPath(request.target);
  const std::string host =
      http::FindHeader(request.headers, "Host").value_or("");
  const scheduling::Route* route = config->FindRoute(host, path);
  if (route == nullptr) {
    const bool may_be_newer = config->customers.RequiresKeys() &&
                              !customers::CanRejectUnknown(m_get_config_age());
    if (may_be_newer) {
      respond(Refuse("config-uncertain"));
      return;
    }
    respond(http::MakeProblem(404, "no-such-queue", "No queue has this path."));
    return;
  }
  const std::string id = path.substr(route->prefix.size());
  const bool is_read = request.method == "GET" || request.method == "HEAD";
  const std::optional<std::string> customer = Admit(request, *route, respond);
  if (!customer) {
    return;
  }
  // Another host may be able to reach the store.
  if (!CanServe(request, *route, id)) {
    base::Log(base::events::kJobRefused, {{"route", route->name},
                                          {"call", request.method},
                                          {"path", path},
                                          {"reason", "store"}});
    respond(Refuse("store-unreachable"));
    return;
  }
  if (id.empty() && is_read) {
    Count(*route, respond);
  } else if (request.method == "POST") {
    Submit(*route, id, *customer, request, respond);
  } else if (!IsJobIdentifier(id) && (is_read || request.method == "DELETE")) {
    respond(http::MakeProblem(410, "no-such-job", "No job has this name."));
  } else if (is_read) {
    Show(*route, id, respond);
  } else if (request.method == "DELETE") {
    Cancel(*route, id, respond);
  } else {
    respond(http::MakeProblem(405, "method", "A job takes GET, POST, DELETE."));
  }
}

bool JobApi::CanServe(const http::Request& request,
                      const scheduling::Route& route,
                      const std::string& id) const {
  if (request.method == "POST") {
    return m_can_submit(route.service);
  }
  // The pool's owner can tell the state of a job.
  const bool is_state_request =
      IsJobIdentifier(id) &&
      (request.method == "GET" || request.method == "HEAD");
  return is_state_request || m_is_store_reachable();
}

bool JobApi::CanAdmitCalls() const {
  const scheduling::ServingConfig* config = m_get_config();
  return config != nullptr &&
         (!config->customers.RequiresKeys() ||
          customers::CanAdmit(m_admission_policy, m_get_config_age()));
}

std::optional<std::string> JobApi::Admit(const http::Request& request,
                                         const scheduling::Route& route,
                                         const http::Respond& respond) {
  const customers::Admission admission = customers::AdmitCall(
      m_get_config()->customers, m_admission_policy,
      {route.is_public, http::FindHeader(request.headers, "Authorization")},
      m_get_config_age());
  switch (admission.outcome) {
    case customers::AdmissionOutcome::kAdmitted:
      return admission.customer;
    case customers::AdmissionOutcome::kUncertain:
      respond(Refuse(admission.reason));
      return std::nullopt;
    case customers::AdmissionOutcome::kUnauthorized:
      break;
  }
  m_metrics
      .GetCounter("shallotwick_unauthorized_calls_total",
                  {{"reason", admission.reason}})
      .Increment();
  LogUnauthorized(route, admission.reason);
  http::Response response = http::MakeProblem(
      401, admission.reason, "This call needs a key of the job's customer.");
  response.headers.emplace_back("WWW-Authenticate", "Bearer");
  respond(std::move(response));
  return std::nullopt;
}

void JobApi::LogUnauthorized(const scheduling::Route& route,
                             const char* reason) {
  const auto now = base::RuntimeClock::now();
  if (now < m_unauthorized_logged_at + kUnauthorizedLogPeriod) {
    return;
  }
  m_unauthorized_logged_at = now;
  base::Log(
      base::events::kCallUnauthorized,
      {{"route", route.name},
       {"reason", reason},
       {"version", std::to_string(m_get_config()->version)},
       {"age_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           m_get_config_age())
                           .count())}});
}

void JobApi::Submit(const scheduling::Route& route, const std::string& id,
                    const std::string& customer, const http::Request& request,
                    const http::Respond& respond) {
  if (!IsJobIdentifier(id)) {
    respond(http::MakeProblem(400, "bad-identifier",
                              "A job's name is 16 hexadecimal digits."));
    return;
  }
  if (static_cast<int64_t>(request.body.size()) >
      m_get_config()->max_body_bytes) {
    respond(http::MakeProblem(413, "body-too-large", "The body is too long."));
    return;
  }
  scheduling::JobSpec job;
  try {
    job = platform::DecodeJob(request.body);
  } catch (const base::InvalidInput& error) {
    base::Log(base::events::kJobRefused,
              {{"job", id}, {"route", route.name}, {"reason", error.what()}});
    respond(http::MakeProblem(400, "bad-job", error.what()));
    return;
  }
  job.id = id;
  job.route = route.name;
  job.customer = customer;
  job.accepted_ms = m_get_unix_ms();
  job.max_attempts = route.policy.max_attempts;
  if (scheduling::EncodeJobRecord(job).size() > storage::kMaxRowBytes) {
    respond(http::MakeProblem(413, "job-too-large",
                              "The job takes more than 48 KiB as stored."));
    return;
  }
  m_submit(route.service, job,
           [this, id, name = route.name, service = route.service,
            shape = DescribeSteps(job), respond](JobCallOutcome outcome) {
             if (outcome == JobCallOutcome::kDone) {
               base::Log(base::events::kJobAccepted, {{"job", id},
                                                      {"route", name},
                                                      {"pool", service},
                                                      {"steps", shape}});
             }
             respond(MakeResponse("submit", id, outcome,
                                  http::MakeJsonResponse(200, "{}")));
           });
}

void JobApi::Show(const scheduling::Route& route, const std::string& id,
                  const http::Respond& respond) {
  m_states.Find(
      ListServices(route), id,
      [this, id, respond](JobCallOutcome outcome, scheduling::JobState state) {
        respond(MakeResponse(
            "show", id, outcome,
            http::MakeJsonResponse(200, platform::EncodeJobState(state))));
      });
}

void JobApi::Cancel(const scheduling::Route& route, const std::string& id,
                    const http::Respond& respond) {
  m_jobs.Cancel(ListServices(route), route.name, id,
                [this, id, respond](JobCallOutcome outcome) {
                  if (outcome == JobCallOutcome::kDone) {
                    base::Log(base::events::kJobCancelled, {{"job", id}});
                  }
                  respond(MakeResponse("cancel", id, outcome,
                                       http::MakeJsonResponse(200, "{}")));
                });
}

void JobApi::Count(const scheduling::Route& route,
                   const http::Respond& respond) {
  const auto services = m_list_services(route);
  if (!services) {
    respond(Refuse("no-placements"));
    return;
  }
  m_jobs.CountQueued(
      *services, route.name,
      [this, name = route.name, respond](JobCallOutcome outcome,
                                         int64_t count) {
        respond(MakeResponse(
            "count", name, outcome,
            http::MakeJsonResponse(200, platform::EncodePendingCount(count))));
      });
}

std::vector<std::string> JobApi::ListServices(
    const scheduling::Route& route) const {
  std::vector<std::string> services =
      m_list_services(route).value_or(std::vector<std::string>{route.service});
  for (const std::string& service : m_get_config()->services) {
    if (std::find(services.begin(), services.end(), service) ==
        services.end()) {
      services.push_back(service);
    }
  }
  return services;
}

http::Response JobApi::Refuse(const char* reason) {
  m_metrics.GetCounter("shallotwick_refusals_total", {{"reason", reason}})
      .Increment();
  http::Response response = http::MakeProblem(
      503, reason, "Nothing was done; come back after the time given.");
  response.headers.emplace_back(
      "Retry-After", std::to_string(storage::GetRetryAfterSeconds(
                         m_get_outage_age(), base::MakeRandomFraction())));
  return response;
}

http::Response JobApi::MakeResponse(const char* call, const std::string& id,
                                    JobCallOutcome outcome,
                                    http::Response done) {
  switch (outcome) {
    case JobCallOutcome::kDone:
      return done;
    case JobCallOutcome::kNotFound:
      if (std::string(call) == "submit") {
        base::Log(base::events::kJobRefused,
                  {{"job", id}, {"call", call}, {"reason", "withdrawn"}});
        return http::MakeProblem(410, "job-withdrawn",
                                 "The job was cancelled before it was stored.");
      }
      return http::MakeProblem(410, "no-such-job", "No job has this name.");
    case JobCallOutcome::kRefused:
      base::Log(base::events::kJobRefused,
                {{"job", id}, {"call", call}, {"reason", "store"}});
      return Refuse("store-refused");
    case JobCallOutcome::kRejected:
      base::Log(base::events::kJobRefused,
                {{"job", id}, {"call", call}, {"reason", "store-rejected"}});
      return http::MakeProblem(400, "job-rejected",
                               "The store does not take this job.");
    case JobCallOutcome::kUnknown:
      break;
  }
  base::Log(base::events::kJobOutcomeUnknown, {{"job", id}, {"call", call}});
  m_metrics.GetCounter("shallotwick_unknown_outcomes_total", {{"call", call}})
      .Increment();
  return http::MakeProblem(504, "outcome-unknown",
                           "The store did not answer; ask again.");
}

}  // namespace shallotwick::scheduler
