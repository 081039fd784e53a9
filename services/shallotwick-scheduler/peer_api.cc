#include "peer_api.h"

#include <stdexcept>
#include <vector>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "peer_client.h"
#include "scheduling/job_record.h"

namespace shallotwick::scheduler {

void PeerApi::Handle(const http::Request& request,
                     const http::Respond& respond) const {
  const std::vector<std::string> segments =
      http::SplitPath(http::GetPath(request.target));
  const std::string call =
      segments.size() == 3 ? request.method + " " + segments[0] : "";
  if (call == std::string("GET ") + kJobStatePath) {
    ShowState(segments[1], segments[2], respond);
  } else if (call == std::string("POST ") + kJobPath) {
    Submit(segments[1], request.body, respond);
  } else {
    respond(http::MakeProblem(404, "no-such-call", "There is no such call."));
  }
}

void PeerApi::ShowState(const std::string& pool, const std::string& job,
                        const http::Respond& respond) const {
  const auto state = m_find_state(pool, job);
  if (!state) {
    respond(http::MakeProblem(404, "no-such-job",
                              "This host does not know the job's state."));
    return;
  }
  scheduling::JobProgress progress;
  progress.state = *state;
  respond(http::MakeJsonResponse(200, scheduling::EncodeProgress(progress)));
}

void PeerApi::Submit(const std::string& pool, const std::string& body,
                     const http::Respond& respond) const {
  scheduling::JobSpec job;
  try {
    job = scheduling::DecodeJobRecord(body);
    scheduling::RequireValidJob(job);
  } catch (const std::runtime_error& error) {
    base::Log(base::events::kMalformedFrame,
              {{"pool", pool}, {"fault", error.what()}});
    respond(http::MakeProblem(400, "bad-job", error.what()));
    return;
  }
  m_submit(pool, job, [respond](JobCallOutcome outcome) {
    switch (outcome) {
      case JobCallOutcome::kDone:
        respond(http::MakeJsonResponse(kStoredStatus, "{}"));
        return;
      case JobCallOutcome::kRefused:
        respond(http::MakeProblem(kRefusedStatus, "store-refused",
                                  "The job is not stored."));
        return;
      case JobCallOutcome::kRejected:
        respond(http::MakeProblem(kRejectedStatus, "job-rejected",
                                  "The store does not take this job."));
        return;
      case JobCallOutcome::kNotFound:
        respond(
            http::MakeProblem(kWithdrawnStatus, "job-withdrawn",
                              "The job was cancelled before it was stored."));
        return;
      case JobCallOutcome::kUnknown:
        respond(http::MakeProblem(kUnknownStatus, "outcome-unknown",
                                  "The store did not answer."));
    }
  });
}

}  // namespace shallotwick::scheduler
