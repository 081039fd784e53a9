#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/backoff.h"
#include "base/periodic_task.h"
#include "control/link_thread.h"
#include "control/row_set.h"
#include "control/store_reachability.h"
#include "records/control_records.h"
#include "storage/table_service.h"
#include "view_tracker.h"

namespace shallotwick::gateway {

struct MembershipOptions {
  base::Duration period = std::chrono::seconds(1);
  // Maximum backoff while the table service does not respond.
  base::Duration max_retry_delay = std::chrono::seconds(3);
  // Number of periods between two renewals of the membership lease.
  int periods_per_renewal = 2;
  // Time limit for a peer to renew the row on this gateway's behalf.
  std::chrono::milliseconds peer_timeout{2'000};
};

// Returns options that leave time for a second renewal within the membership
// limit if the first one is lost.
MembershipOptions MakeMembershipOptions(base::Duration membership_limit);

// Periodically renews the gateway's membership row and polls the table service
// for newer views, on its own thread.
class Membership {
 public:
  // `describe` returns the current content of the row, except for the renewal
  // count, which is set here.
  Membership(storage::TableService& table,
             control::StoreReachability& store_reachability, ViewTracker& views,
             control::LinkThread& links,
             std::function<records::MemberRecord()> describe,
             MembershipOptions options);

  // The row that a gateway asks a peer to write.
  struct Renewal {
    records::MemberRecord member;
    // Whether the row may be written if it does not exist or belongs to another
    // incarnation.
    bool may_join = true;
  };

  // Renews a peer's row at its request. Called on the link thread; replies on
  // the same thread when the table service has responded or failed.
  void RenewForPeer(const Renewal& renewal, link::OnReply on_reply);
  // Stops the periodic task and removes the row if the table service responds.
  void Leave();

 private:
  base::Duration RunPass();
  // Returns false if the view in force was of another system and has been
  // discarded.
  bool UpdateSystem(const control::RowSet& rows);
  void FetchNewerView(uint64_t head_version, base::TimePoint sent_at);
  void RenewMembership(base::TimePoint sent_at);
  void RenewPeers();
  void RenewThroughPeer();
  // Writes a member's next renewal. Returns std::nullopt if another process
  // wrote the row in the meantime or the member may not join, else whether the
  // row did not exist or belonged to another incarnation. Throws
  // storage::Unavailable.
  // FIXME: Two live processes of the same name repeatedly overwrite each
  // other's row. The one that lost the row should stop, and controllers should
  // wait for its membership to expire.
  std::optional<bool> WriteRenewal(const Renewal& renewal);

  struct PeerRenewal {
    Renewal renewal;
    link::OnReply on_reply;
  };

  storage::TableService& m_table;
  control::StoreReachability& m_store_reachability;
  ViewTracker& m_views;
  control::LinkThread& m_links;
  std::function<records::MemberRecord()> m_describe;
  MembershipOptions m_options;
  base::Backoff m_backoff;
  size_t m_next_peer = 0;
  std::mutex m_mutex;
  std::vector<PeerRenewal> m_peer_renewals;
  int m_iterations = 0;
  bool m_joined = false;
  // Since the last renewal; the next one counts as a new membership.
  bool m_has_discarded_view = false;
  // As the table service names it; empty until it has responded.
  std::string m_system;
  base::PeriodicTask m_task;
};

}  // namespace shallotwick::gateway
