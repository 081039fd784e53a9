#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "http/request_sender.h"
#include "scheduling/progress.h"

namespace shallotwick::scheduler {

// The path of a job's state is /job-states/POOL/JOB.
inline constexpr char kJobStatePath[] = "job-states";

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

 private:
  http::RequestSender& m_client;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
