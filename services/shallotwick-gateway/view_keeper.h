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

// Holds the gateway's view and what is known of its being the newest. Safe to
// use from several threads.
class ViewKeeper {
 public:
  ViewKeeper(std::string gateway, routing::Dispatcher& dispatcher,
             routing::ConfirmationLimits limits);

  // Puts a view in force if it is newer. A view that is older is refused.
  void OfferView(routing::RoutingView view, const std::string& source);
  // Applies a push of the controller. Returns false if it does not fit the view
  // that is held.
  bool ApplyPush(const control::ViewPush& push);

  // The gateway's membership row was written on a question sent at `sent_at`.
  void ConfirmMembership(base::TimePoint sent_at, bool is_new);
  // `head_version` is the newest view's version by a read sent at `sent_at`.
  void ConfirmByStore(uint64_t head_version, base::TimePoint sent_at);
  void ReportStoreUnreachable();
  void LearnDigest(const control::Digest& digest, base::TimePoint sent_at);
  control::Digest MakeDigest() const;

  uint64_t GetVersion() const { return m_dispatcher.GetViewVersion(); }
  routing::RoutingView GetView() const { return m_dispatcher.GetView(); }

  // Whether new requests may be sent by this view now.
  bool IsReady(base::TimePoint now) const;

 private:
  void UpdateReadyUntil();

  std::string m_gateway;
  routing::Dispatcher& m_dispatcher;
  mutable std::mutex m_mutex;
  routing::ViewConfirmation m_confirmation;
  std::atomic<int64_t> m_ready_until{0};
};

}  // namespace shallotwick::gateway
