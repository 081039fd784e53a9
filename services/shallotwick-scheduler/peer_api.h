#pragma once

#include <functional>
#include <optional>
#include <string>

#include "http/message.h"
#include "http/server.h"
#include "job_service.h"
#include "scheduling/progress.h"

namespace shallotwick::scheduler {

// The interface for other hosts: tells the states of jobs that this host knows
// as the owner of their pool, and stores jobs, for callers of hosts for which
// the store is away or slow.
class PeerApi {
 public:
  // Returns the state of a job of a pool that this host owns.
  std::function<std::optional<scheduling::JobState>(const std::string& pool,
                                                    const std::string& job)>
      m_find_state;

  // Stores a job of a pool that this host owns.
  std::function<void(const std::string& pool, const scheduling::JobSpec& job,
                     JobService::OnOutcome on_done)>
      m_submit;

  void Handle(const http::Request& request, const http::Respond& respond) const;

 private:
  void ShowState(const std::string& pool, const std::string& job,
                 const http::Respond& respond) const;
  void Submit(const std::string& pool, const std::string& body,
              const http::Respond& respond) const;
};

}  // namespace shallotwick::scheduler
