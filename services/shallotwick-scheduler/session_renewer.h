#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "ownership/session_monitor.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Renews this host's session in the store and observes the sessions of other
// hosts.
class SessionRenewer {
 public:
  // `cores`: the number of processor cores that this host may use.
  SessionRenewer(base::EventLoop& loop, storage::RowStore& store,
                 ownership::Incarnation self, double cores);

  // Called after each read of the sessions, and once this host's session is
  // first established.
  std::function<void()> m_on_sessions_read;
  // Whether this host must detect the loss of another host without delay.
  std::function<bool()> m_must_watch_closely = [] { return true; };
  // Whether the store takes long for transactions, so that hosts without pools
  // renew their sessions less often.
  std::function<bool()> m_is_store_slow = [] { return false; };
  // This host's time of day minus the store's clock in milliseconds, if known.
  std::function<std::optional<int64_t>()> m_get_clock_offset = [] {
    return std::nullopt;
  };
  // Where other hosts reach this one.
  std::string m_peer_address;
  // Called when another process has taken over this host's session.
  std::function<void()> m_on_replaced;

  void Start();
  // Renews the session at once. Called when the store is back, as the pending
  // renewal may have to time out first.
  void RenewNow() { Renew(); }
  // Removes the session, so that other hosts need not wait for it to expire.
  void Release();

  const ownership::Incarnation& GetSelf() const { return m_self; }
  const ownership::SessionMonitor& GetMonitor() const { return m_monitor; }
  // Returns whether the session was renewed recently enough that no other host
  // can consider it expired.
  bool IsSessionValid(base::TimePoint now) const;
  // Returns until when the session is valid without another renewal.
  base::TimePoint GetValidUntil() const;
  // Returns how often the session was renewed only after it had stopped being
  // valid. Other hosts may have taken over this host's pools each time.
  int64_t GetLapseCount() const { return m_lapse_count; }
  // Returns the version of a host's session row as last read, kNoVersion if
  // there was none.
  uint64_t GetSessionVersion(const std::string& host) const;
  // Whether this host's session has been established.
  bool HasSession() const { return m_has_session; }

 private:
  bool MustWatchClosely(base::TimePoint now) const;
  void RenewAfter(base::Duration delay);
  void RenewIfDue();
  void Renew();
  void OnRenewed(const storage::RowCommitResult& result, base::TimePoint sent,
                 int64_t attempt);
  void ReadSessions();
  void ReadIfDue();
  void OnSessions(const storage::RowReadResult& result);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  ownership::Incarnation m_self;
  double m_cores;
  ownership::SessionMonitor m_monitor;
  uint64_t m_version = storage::kNoVersion;
  // Versions of the session rows as last read, malformed ones included.
  std::map<std::string, uint64_t> m_session_versions;
  bool m_has_session = false;
  bool m_is_released = false;
  base::TimePoint m_started_at;
  base::TimePoint m_renewed_at;
  int64_t m_lapse_count = 0;
  // The number of renewals sent. Only the last one plans the next one.
  int64_t m_attempts = 0;
  base::TimePoint m_read_at;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
