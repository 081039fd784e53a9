#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include "base/runtime_clock.h"
#include "control/messages.h"
#include "routing/dispatcher.h"
#include "routing/view_confirmation.h"

namespace shallotwick::gateway {

// Tracks the gateway's current view and how recently that view was confirmed to
// be the newest one. Thread-safe.
class ViewTracker {
 public:
  ViewTracker(std::string gateway, routing::Dispatcher& dispatcher,
              routing::ConfirmationLimits limits);

  // Replaces the current view if `view` is newer. An older view is refused.
  void ReplaceViewIfNewer(routing::RoutingView view, const std::string& source);
  // Discards the view and all that confirms it, because it is of the system
  // `previous` and the table service names the system `current`.
  void DiscardView(const std::string& previous, const std::string& current);
  // Applies a push from the controller. Returns false if the push is a delta
  // from a version other than the current one.
  bool ApplyPush(const control::ViewPush& push);

  // Records that the gateway's membership row was written by a request sent at
  // `sent_at`.
  void ConfirmMembership(base::TimePoint sent_at, bool is_new);
  // Records that the version of the newest view was `head_version` according to
  // a read sent at `sent_at`.
  void ConfirmByStore(uint64_t head_version, base::TimePoint sent_at);
  void RecordStoreUnreachable();
  void MergeDigest(const control::Digest& digest, base::TimePoint sent_at);
  control::Digest MakeDigest() const;

  uint64_t GetVersion() const { return m_dispatcher.GetViewVersion(); }
  routing::RoutingView GetView() const { return m_dispatcher.GetView(); }

  // Returns whether new requests may be routed by the current view at `now`.
  bool IsReady(base::TimePoint now) const;

 private:
  void UpdateReadyUntil();

  std::string m_gateway;
  routing::Dispatcher& m_dispatcher;
  routing::ConfirmationLimits m_limits;
  mutable std::mutex m_mutex;
  routing::ViewConfirmation m_confirmation;
  std::atomic<int64_t> m_ready_until{0};
};

}  // namespace shallotwick::gateway
