#include "session_renewer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "job_tables.h"
#include "platform/wire_reader.h"

namespace shallotwick::scheduler {
namespace {

constexpr auto kRenewPeriod = std::chrono::milliseconds(500);
constexpr auto kRetryPeriod = std::chrono::milliseconds(150);
// While the store is slow, frequent retries would use up the transactions that
// it accepts.
constexpr auto kSlowStoreRetryPeriod = std::chrono::milliseconds(400);
constexpr auto kReadPeriod = std::chrono::milliseconds(400);
// Periods for a host that owns no pool and ranks last for taking one over. Its
// renewals still detect whether the store is reachable.
constexpr auto kRelaxedRenewPeriod = std::chrono::milliseconds(1'250);
constexpr auto kRelaxedReadPeriod = std::chrono::milliseconds(3'000);
// For the same hosts while the store is slow: the renewals of all hosts wait in
// one queue, before those of the owners. Such hosts may not take over pools
// then.
constexpr auto kSlowStoreRenewPeriod = std::chrono::milliseconds(5'000);
// When all hosts start at the same time, each must first discover the others.
constexpr auto kStartupWindow = std::chrono::milliseconds(4'000);
// A session that is not renewed for this long has expired. Several renewals fit
// into this time, so that lost responses alone do not expire it.
constexpr auto kTimeToLive = std::chrono::milliseconds(2'000);
// A host stops sending orders this long after it sent its last successful
// renewal. The rest of the time to live covers differing clocks and orders
// in flight.
constexpr auto kMaxRenewalAge = std::chrono::milliseconds(1'600);

constexpr double kMaxCores = 1'000'000;
// The store's clock may count from any time.
constexpr platform::WireRange kClockOffsetRange{-platform::kClockMsRange.max,
                                                platform::kClockMsRange.max};

// Returns std::nullopt and logs the error if the row is malformed.
std::optional<ownership::SessionRow> DecodeSession(
    const storage::VersionedRow& row) {
  try {
    const auto object = platform::ParseWire(row.value);
    const platform::WireReader reader(object);
    ownership::SessionRow session;
    session.holder.host = row.key.key;
    session.holder.boot = reader.GetName("boot");
    session.version = row.version;
    session.cores = reader.GetReal("cores", kMaxCores, 1.0);
    session.peer_address = reader.GetName("peer", "");
    if (!session.peer_address.empty()) {
      platform::CheckTargetAddress(session.peer_address, "peer");
    }
    if (reader.Has("clock_offset_ms")) {
      session.clock_offset_ms =
          reader.GetInteger("clock_offset_ms", kClockOffsetRange);
    }
    return session;
  } catch (const std::runtime_error& error) {
    base::Log(
        base::events::kStoreContentInvalid,
        {{"row", row.key.table + "/" + row.key.key}, {"fault", error.what()}});
    return std::nullopt;
  }
}

}  // namespace

SessionRenewer::SessionRenewer(base::EventLoop& loop, storage::RowStore& store,
                               ownership::Incarnation self, double cores)
    : m_loop(loop),
      m_store(store),
      m_self(std::move(self)),
      m_cores(cores),
      m_monitor(kTimeToLive) {}

void SessionRenewer::Start() {
  m_started_at = base::RuntimeClock::now();
  Renew();
  ReadSessions();
}

bool SessionRenewer::IsSessionValid(base::TimePoint now) const {
  return m_has_session && !m_is_released && now < GetValidUntil();
}

base::TimePoint SessionRenewer::GetValidUntil() const {
  return m_renewed_at + kMaxRenewalAge;
}

uint64_t SessionRenewer::GetSessionVersion(const std::string& host) const {
  const auto found = m_session_versions.find(host);
  return found == m_session_versions.end() ? storage::kNoVersion
                                           : found->second;
}

bool SessionRenewer::MustWatchClosely(base::TimePoint now) const {
  return now < m_started_at + kStartupWindow || m_must_watch_closely();
}

void SessionRenewer::RenewAfter(base::Duration delay) {
  m_loop.RunAfter(delay, m_lifetime.Guard([this, attempt = m_attempts] {
    if (attempt == m_attempts) {
      RenewIfDue();
    }
  }));
}

// Checks at the short period, so that a host that gains a pool immediately
// renews more often.
void SessionRenewer::RenewIfDue() {
  const auto now = base::RuntimeClock::now();
  const base::Duration relaxed_period =
      m_is_store_slow() ? kSlowStoreRenewPeriod : kRelaxedRenewPeriod;
  const bool is_due = !m_has_session || MustWatchClosely(now) ||
                      now >= m_renewed_at + relaxed_period;
  if (is_due) {
    Renew();
  } else {
    RenewAfter(std::min<base::Duration>(kRenewPeriod,
                                        m_renewed_at + relaxed_period - now));
  }
}

void SessionRenewer::Renew() {
  if (m_is_released) {
    return;
  }
  nlohmann::json session = {
      {"boot", m_self.boot}, {"cores", m_cores}, {"peer", m_peer_address}};
  if (const auto offset_ms = m_get_clock_offset()) {
    session["clock_offset_ms"] = *offset_ms;
  }
  const std::string value = session.dump();
  storage::RowTransaction transaction;
  const storage::RowKey key = MakeSessionKey(m_self.host);
  transaction.expected = {{key, m_version}};
  transaction.writes = {{key, value}};
  m_store.Commit(std::move(transaction),
                 m_lifetime.Guard([this, sent = base::RuntimeClock::now(),
                                   attempt = ++m_attempts](
                                      const storage::RowCommitResult& result) {
                   OnRenewed(result, sent, attempt);
                 }));
}

void SessionRenewer::OnRenewed(const storage::RowCommitResult& result,
                               base::TimePoint sent, int64_t attempt) {
  auto next =
      base::Duration(m_is_store_slow() ? kSlowStoreRetryPeriod : kRetryPeriod);
  if (result.status == storage::RowCommitStatus::kCommitted) {
    m_version = result.version;
    if (m_has_session && base::RuntimeClock::now() >= GetValidUntil()) {
      ++m_lapse_count;
    }
    m_renewed_at = std::max(m_renewed_at, sent);
    next = kRenewPeriod;
    if (!std::exchange(m_has_session, true)) {
      m_on_sessions_read();
    }
  } else if (result.status == storage::RowCommitStatus::kConflict) {
    const storage::VersionedRow row =
        result.current.empty() ? storage::VersionedRow{} : result.current[0];
    const bool exists = row.version != storage::kNoVersion && !row.is_removed;
    const auto session = exists ? DecodeSession(row) : std::nullopt;
    if (m_has_session && session && session->holder.boot != m_self.boot) {
      m_on_replaced();
      return;
    }
    // An earlier renewal took effect without a response, or a previous process
    // of this host left its row.
    m_version = row.is_removed ? storage::kNoVersion : row.version;
    next = base::Duration(0);
  }
  if (attempt != m_attempts) {
    return;
  }
  if (next == base::Duration(kRenewPeriod)) {
    RenewAfter(next);
  } else {
    m_loop.RunAfter(next, m_lifetime.Guard([this, attempt] {
      if (attempt == m_attempts) {
        Renew();
      }
    }));
  }
}

void SessionRenewer::ReadSessions() {
  if (m_is_released) {
    return;
  }
  m_read_at = base::RuntimeClock::now();
  storage::RowRange range;
  range.table = kSessionTable;
  range.part = kSinglePartition;
  m_store.Read(range,
               m_lifetime.Guard([this](const storage::RowReadResult& result) {
                 OnSessions(result);
               }));
}

void SessionRenewer::OnSessions(const storage::RowReadResult& result) {
  if (result.is_read) {
    std::map<std::string, ownership::SessionRow> sessions;
    m_session_versions.clear();
    for (const storage::VersionedRow& row : result.rows) {
      m_session_versions[row.key.key] = row.version;
      if (auto session = DecodeSession(row)) {
        sessions[row.key.key] = std::move(*session);
      }
    }
    m_monitor.Observe(sessions, base::RuntimeClock::now());
    m_on_sessions_read();
  }
  m_loop.RunAfter(kReadPeriod, m_lifetime.Guard([this] { ReadIfDue(); }));
}

void SessionRenewer::ReadIfDue() {
  const auto now = base::RuntimeClock::now();
  if (MustWatchClosely(now) || now >= m_read_at + kRelaxedReadPeriod) {
    ReadSessions();
  } else {
    m_loop.RunAfter(kReadPeriod, m_lifetime.Guard([this] { ReadIfDue(); }));
  }
}

void SessionRenewer::Release() {
  m_is_released = true;
  storage::RowTransaction transaction;
  const storage::RowKey key = MakeSessionKey(m_self.host);
  transaction.expected = {{key, m_version}};
  transaction.removals = {key};
  m_store.Commit(std::move(transaction),
                 [](const storage::RowCommitResult& /*result*/) {});
}

}  // namespace shallotwick::scheduler
