#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include "base/backoff.h"
#include "base/periodic_task.h"
#include "control/store_watch.h"
#include "platform/table_service.h"
#include "records/control_records.h"
#include "view_keeper.h"

namespace shallotwick::gateway {

struct MembershipOptions {
  base::Duration period = std::chrono::seconds(1);
  // While the table service does not answer.
  base::Duration longest_retry_delay = std::chrono::seconds(3);
  // The lease is renewed every so many periods.
  int periods_per_renewal = 2;
};

// Renews the gateway's membership row and looks for newer views in the table
// service, on a thread of its own.
class Membership {
 public:
  // `describe` gives the row's present content; its renewal is set here.
  Membership(platform::TableService& table, control::StoreWatch& watch,
             ViewKeeper& views, std::function<records::MemberRecord()> describe,
             MembershipOptions options);

  // Makes the next round come at once.
  void WakeUp() { m_task.WakeUp(); }
  // Ends the rounds and removes the row, if the table service answers.
  void Leave();

 private:
  base::Duration RunRound();
  void LookForView(uint64_t head_version, base::TimePoint sent_at);
  void Renew(uint64_t generation,
             const std::optional<records::MemberRecord>& row);

  platform::TableService& m_table;
  control::StoreWatch& m_watch;
  ViewKeeper& m_views;
  std::function<records::MemberRecord()> m_describe;
  MembershipOptions m_options;
  base::Backoff m_backoff;
  uint64_t m_renewal = 0;
  int m_rounds = 0;
  bool m_joined = false;
  base::PeriodicTask m_task;
};

}  // namespace shallotwick::gateway
