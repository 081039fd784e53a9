#include "peer_client.h"

#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "scheduling/job_record.h"

namespace shallotwick::scheduler {
namespace {

// Peers answer from memory. A busy host takes some tens of milliseconds.
constexpr auto kAnswerTimeout = std::chrono::milliseconds(500);

// A slow store answers within about a second, and callers wait for three.
constexpr auto kSubmissionTimeout = std::chrono::milliseconds(2'200);

JobCallOutcome DecodeSubmission(const http::TransferResult& result) {
  if (result.outcome == http::TransferOutcome::kNotSent) {
    return JobCallOutcome::kRefused;
  }
  if (result.outcome != http::TransferOutcome::kComplete) {
    return JobCallOutcome::kUnknown;
  }
  switch (result.response.status) {
    case kStoredStatus:
      return JobCallOutcome::kDone;
    case kRefusedStatus:
      return JobCallOutcome::kRefused;
    case kRejectedStatus:
      return JobCallOutcome::kRejected;
    case kWithdrawnStatus:
      return JobCallOutcome::kNotFound;
    default:
      return JobCallOutcome::kUnknown;
  }
}

}  // namespace

void PeerClient::Submit(const std::string& address, const std::string& pool,
                        const scheduling::JobSpec& job,
                        JobService::OnOutcome on_done) {
  http::Request request;
  request.method = "POST";
  request.target = std::string("/") + kJobPath + "/" +
                   http::PercentEncode(pool) + "/" +
                   http::PercentEncode(job.id);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = scheduling::EncodeJobRecord(job);
  const std::string url = "http://" + address + request.target;
  auto options = http::TransferOptions::WithTimeout(kSubmissionTimeout);
  options.connect_timeout = kAnswerTimeout;
  m_client.Send(url, std::move(request), options,
                m_lifetime.Guard([on_done = std::move(on_done)](
                                     const http::TransferResult& result) {
                  on_done(DecodeSubmission(result));
                }));
}

void PeerClient::AskState(const std::string& address, const std::string& pool,
                          const std::string& job, OnState on_done) {
  http::Request request;
  request.target = std::string("/") + kJobStatePath + "/" +
                   http::PercentEncode(pool) + "/" + http::PercentEncode(job);
  const std::string url = "http://" + address + request.target;
  m_client.Send(
      url, std::move(request),
      http::TransferOptions::WithTimeout(kAnswerTimeout),
      m_lifetime.Guard([job, on_done = std::move(on_done)](
                           const http::TransferResult& result) {
        const bool is_answered =
            result.outcome == http::TransferOutcome::kComplete &&
            result.response.status == 200;
        if (!is_answered) {
          on_done(std::nullopt);
          return;
        }
        try {
          on_done(scheduling::DecodeSummary(result.response.body).state);
        } catch (const std::runtime_error& error) {
          base::Log(base::events::kMalformedFrame,
                    {{"job", job}, {"fault", error.what()}});
          on_done(std::nullopt);
        }
      }));
}

}  // namespace shallotwick::scheduler
