#pragma once

#include <functional>
#include <optional>
#include <string>

#include "http/message.h"
#include "http/server.h"
#include "scheduling/progress.h"

namespace shallotwick::scheduler {

// The interface for other hosts: tells the states of jobs that this host knows
// as the owner of their pool, for callers of hosts that cannot read the store.
class PeerApi {
 public:
  // Returns the state of a job of a pool that this host owns.
  std::function<std::optional<scheduling::JobState>(const std::string& pool,
                                                    const std::string& job)>
      m_find_state;

  void Handle(const http::Request& request, const http::Respond& respond) const;
};

}  // namespace shallotwick::scheduler
