#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "http/request_sender.h"
#include "job_service.h"
#include "scheduling/progress.h"

namespace shallotwick::scheduler {

// Paths are /job-states/POOL/JOB and /jobs/POOL/JOB.
inline constexpr char kJobStatePath[] = "job-states";
inline constexpr char kJobPath[] = "jobs";

// The statuses of an answer to a submission: the job is stored, or it is not
// and never will be. All others leave it open.
inline constexpr int kStoredStatus = 200;
inline constexpr int kRefusedStatus = 503;
inline constexpr int kRejectedStatus = 400;
// The job has been cancelled before.
inline constexpr int kWithdrawnStatus = 410;
inline constexpr int kUnknownStatus = 504;

// Calls the PeerApi of other hosts.
class PeerClient {
 public:
  explicit PeerClient(http::RequestSender& client) : m_client(client) {}

  using OnState = std::function<void(std::optional<scheduling::JobState>)>;

  // Asks the host at `address` for the state of a job of a pool that it owns.
  // The callback gets std::nullopt if the host does not know it, or if it gave
  // no valid answer in time.
  void AskState(const std::string& address, const std::string& pool,
                const std::string& job, OnState on_done);

  // Hands a job over to the owner of its pool, which stores it. The outcome is
  // unknown if the owner may have received the job but gave no valid answer.
  void Submit(const std::string& address, const std::string& pool,
              const scheduling::JobSpec& job, JobService::OnOutcome on_done);

 private:
  http::RequestSender& m_client;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
