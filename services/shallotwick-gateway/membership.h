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
#include "control/store_watch.h"
#include "records/control_records.h"
#include "storage/table_service.h"
#include "view_keeper.h"

namespace shallotwick::gateway {

struct MembershipOptions {
  base::Duration period = std::chrono::seconds(1);
  // While the table service does not answer.
  base::Duration longest_retry_delay = std::chrono::seconds(3);
  // The lease is renewed every so many periods.
  int periods_per_renewal = 2;
  // Wait for a peer that renews the row.
  std::chrono::milliseconds peer_timeout{2'000};
};

// Returns options under which a renewal that is lost leaves time for another
// one within the membership limit.
MembershipOptions MakeMembershipOptions(base::Duration membership_limit);

// Renews the gateway's membership row and looks for newer views in the table
// service, on a thread of its own.
class Membership {
 public:
  // `describe` gives the row's present content; its renewal is set here.
  Membership(storage::TableService& table, control::StoreWatch& watch,
             ViewKeeper& views, control::LinkThread& links,
             std::function<records::MemberRecord()> describe,
             MembershipOptions options);

  // Renews a peer's row that asks for it. Called on the links' thread; replies
  // there when the table service has answered or failed.
  void RenewForPeer(const records::MemberRecord& member,
                    link::OnReply on_reply);
  // Ends the rounds and removes the row, if the table service answers.
  void Leave();

 private:
  base::Duration RunRound();
  void LookForView(uint64_t head_version, base::TimePoint sent_at);
  void Renew(base::TimePoint sent_at);
  void RenewPeers();
  void RenewThroughPeer();
  // Writes a member's next renewal. Returns nothing if somebody else wrote the
  // row meanwhile, else whether no row of this incarnation stood before. Throws
  // storage::Unavailable.
  // FIXME: two live processes of one name take the row from each other; the one
  // without it should stop, and controllers should wait for its lapse.
  std::optional<bool> WriteRenewal(records::MemberRecord member);

  struct PeerRenewal {
    records::MemberRecord member;
    link::OnReply on_reply;
  };

  storage::TableService& m_table;
  control::StoreWatch& m_watch;
  ViewKeeper& m_views;
  control::LinkThread& m_links;
  std::function<records::MemberRecord()> m_describe;
  MembershipOptions m_options;
  base::Backoff m_backoff;
  size_t m_next_peer = 0;
  std::mutex m_mutex;
  std::vector<PeerRenewal> m_peer_renewals;
  int m_rounds = 0;
  bool m_joined = false;
  base::PeriodicTask m_task;
};

}  // namespace shallotwick::gateway
