#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "ownership/session_watch.h"
#include "storage/row_store.h"

namespace shallotwick::scheduler {

// Renews this host's session in the store and watches those of the others.
class SessionKeeper {
 public:
  // `cores`: what this host may use of its processor, in cores.
  SessionKeeper(base::EventLoop& loop, storage::RowStore& store,
                ownership::Incarnation self, double cores);

  // After each reading of the sessions.
  std::function<void()> m_on_reading;
  // Whether this host has to notice at once if another one is gone.
  std::function<bool()> m_must_watch_closely = [] { return true; };
  // This host's time of day less the store's clock, if that is known.
  std::function<std::optional<int64_t>()> m_get_clock_offset = [] {
    return std::nullopt;
  };
  // Another process holds this host's session.
  std::function<void()> m_on_replaced;

  void Start();
  // Gives the session up, so that others need not wait for it to lapse.
  void Release();

  const ownership::Incarnation& GetSelf() const { return m_self; }
  const ownership::SessionWatch& GetWatch() const { return m_watch; }
  // No other host can take this one's session for lapsed yet.
  bool IsSafe(base::TimePoint now) const;
  // The store answered lately.
  bool IsStoreReachable(base::TimePoint now) const;

 private:
  bool MustWatchClosely(base::TimePoint now) const;
  void RenewAfter(base::Duration delay);
  void RenewIfDue();
  void Renew();
  void OnRenewed(const storage::RowCommitResult& result, base::TimePoint sent);
  void ReadSessions();
  void ReadIfDue();
  void OnSessions(const storage::RowReadResult& result);

  base::EventLoop& m_loop;
  storage::RowStore& m_store;
  ownership::Incarnation m_self;
  double m_cores;
  ownership::SessionWatch m_watch;
  uint64_t m_version = storage::kNoVersion;
  bool m_has_session = false;
  bool m_is_released = false;
  base::TimePoint m_started_at;
  base::TimePoint m_renewed_at;
  base::TimePoint m_read_at;
  base::Lifetime m_lifetime;
};

}  // namespace shallotwick::scheduler
