#include "routing/submission_path.h"

namespace shallotwick::routing {

SubmissionPath ChooseSubmissionPath(const SubmissionRoutes& routes) {
  const bool needs_owner = routes.is_store_away || routes.is_store_slow;
  if (needs_owner && !routes.is_owner && routes.is_owner_known) {
    // Transactions of this host's own would only keep the store slow.
    return routes.is_owner_refusing ? SubmissionPath::kNone
                                    : SubmissionPath::kOwner;
  }
  if (routes.is_store_away) {
    return SubmissionPath::kNone;
  }
  return routes.is_store_slow && routes.is_owner ? SubmissionPath::kOwnBatch
                                                 : SubmissionPath::kStore;
}

}  // namespace shallotwick::routing
