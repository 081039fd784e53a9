#include "peer_api.h"

#include <vector>

#include "peer_client.h"

namespace shallotwick::scheduler {

void PeerApi::Handle(const http::Request& request,
                     const http::Respond& respond) const {
  const std::vector<std::string> segments =
      http::SplitPath(http::GetPath(request.target));
  const bool is_state_request = request.method == "GET" &&
                                segments.size() == 3 &&
                                segments[0] == kJobStatePath;
  if (!is_state_request) {
    respond(http::MakeProblem(404, "no-such-call", "There is no such call."));
    return;
  }
  const auto state = m_find_state(segments[1], segments[2]);
  if (!state) {
    respond(http::MakeProblem(404, "no-such-job",
                              "This host does not know the job's state."));
    return;
  }
  scheduling::JobProgress progress;
  progress.state = *state;
  respond(http::MakeJsonResponse(200, scheduling::EncodeProgress(progress)));
}

}  // namespace shallotwick::scheduler
