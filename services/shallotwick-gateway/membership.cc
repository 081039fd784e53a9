#include "membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log_catalogue.h"
#include "base/random_identifier.h"
#include "control/message_codec.h"
#include "control/messages.h"
#include "control/row_set.h"
#include "control/view_records.h"
#include "records/keys.h"

namespace shallotwick::gateway {
namespace {

// Two retries, each of a delay and a wait for a peer, fit into the membership
// limit.
constexpr int kWaitsPerLimit = 4;

}  // namespace

MembershipOptions MakeMembershipOptions(base::Duration membership_limit) {
  MembershipOptions options;
  const base::Duration max_wait = membership_limit / kWaitsPerLimit;
  options.max_retry_delay = std::min(options.max_retry_delay, max_wait);
  options.peer_timeout =
      std::min(options.peer_timeout,
               std::chrono::duration_cast<std::chrono::milliseconds>(max_wait));
  options.period =
      std::min(options.period, max_wait / options.periods_per_renewal);
  return options;
}

Membership::Membership(storage::TableService& table,
                       control::StoreReachability& store_reachability,
                       ViewTracker& views, control::LinkThread& links,
                       std::function<records::MemberRecord()> describe,
                       MembershipOptions options)
    : m_table(table),
      m_store_reachability(store_reachability),
      m_views(views),
      m_links(links),
      m_describe(std::move(describe)),
      m_options(options),
      m_backoff(options.period, options.max_retry_delay),
      m_task([this] { return RunPass(); }) {}

base::Duration Membership::RunPass() {
  RenewPeers();
  try {
    // The row is written before the view is read: once the row exists, every
    // controller takes this gateway into account, and a view read after that
    // contains all earlier changes.
    if (m_iterations % m_options.periods_per_renewal == 0 || !m_joined) {
      RenewMembership(base::RuntimeClock::now());
    }
    const base::TimePoint sent_at = base::RuntimeClock::now();
    const control::RowSet rows(m_table.Read(storage::ReadRequest{
        {records::kViewHeadKey, records::kSystemKey}, {}}));
    m_store_reachability.ReportStoreResponse();
    if (!UpdateSystem(rows)) {
      return base::Duration::zero();
    }
    const auto head = rows.Find<records::ViewHeadRecord>(records::kViewHeadKey);
    if (head) {
      FetchNewerView(head->version, sent_at);
    }
    ++m_iterations;
  } catch (const storage::Unavailable& error) {
    m_store_reachability.ReportFailure(error.what());
    m_views.RecordStoreUnreachable();
    RenewThroughPeer();
    return m_backoff.NextDelay(base::MakeRandomFraction());
  }
  m_backoff.Reset();
  return base::JitterPeriod(m_options.period, base::MakeRandomFraction());
}

bool Membership::UpdateSystem(const control::RowSet& rows) {
  const auto record = rows.Find<records::SystemRecord>(records::kSystemKey);
  if (!record || record->identity == m_system) {
    return true;
  }
  m_system = record->identity;
  const std::string previous = m_links.SetSystem(m_system);
  if (previous.empty() || previous == m_system) {
    return true;
  }
  m_views.DiscardView(previous, m_system);
  m_has_discarded_view = true;
  m_joined = false;
  return false;
}

void Membership::FetchNewerView(uint64_t head_version,
                                base::TimePoint sent_at) {
  if (head_version > m_views.GetVersion()) {
    const control::RowSet rows(m_table.Read(control::MakeViewReadRequest()));
    if (auto view = control::BuildView(rows)) {
      m_views.ReplaceViewIfNewer(std::move(*view), "table-service");
    }
  }
  m_views.ConfirmByStore(head_version, sent_at);
}

void Membership::RenewMembership(base::TimePoint sent_at) {
  const std::optional<bool> is_new = WriteRenewal({m_describe()});
  if (!is_new) {
    base::Log(base::events::kMemberLeaseLost,
              {{"gateway", m_describe().gateway}});
    m_joined = false;
    return;
  }
  m_joined = true;
  const bool has_discarded_view = std::exchange(m_has_discarded_view, false);
  m_views.ConfirmMembership(sent_at, *is_new || has_discarded_view);
}

std::optional<bool> Membership::WriteRenewal(const Renewal& renewal) {
  records::MemberRecord member = renewal.member;
  const std::string key = records::MemberKey(member.gateway);
  const control::RowSet rows(m_table.Read(storage::ReadRequest{{key}, {}}));
  const auto row = rows.Find<records::MemberRecord>(key);
  const bool is_own = row && row->incarnation == member.incarnation;
  if (!is_own && !renewal.may_join) {
    return std::nullopt;
  }
  member.renewal = row ? row->renewal + 1 : 1;
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions.push_back(
      storage::Condition::GenerationIs(key, rows.GetGeneration(key)));
  transaction.writes.push_back({key, nlohmann::json(member).dump()});
  // A renewal that conflicts or whose response is lost is not retried, because
  // the next one replaces it.
  const storage::CommitResult result = m_table.Commit(transaction);
  if (result.status != storage::CommitStatus::kCommitted) {
    return std::nullopt;
  }
  return !is_own;
}

void Membership::RenewThroughPeer() {
  std::vector<std::string> peers;
  const records::MemberRecord member = m_describe();
  for (const auto& [name, route] : m_views.GetView().members) {
    if (name != member.gateway) {
      peers.push_back(route.link_address);
    }
  }
  if (peers.empty()) {
    return;
  }
  const base::TimePoint sent_at = base::RuntimeClock::now();
  m_links.Send({peers[m_next_peer++ % peers.size()]},
               {control::kRenewPath, control::Encode(member)},
               m_options.peer_timeout,
               [this, sent_at](const link::Reply& reply) {
                 const auto is_new = control::Decode<bool>(reply.body);
                 // A row in another system's table service makes no member.
                 if (reply.status == link::ReplyStatus::kOk &&
                     reply.is_verified && is_new) {
                   m_views.ConfirmMembership(sent_at, *is_new);
                 }
               });
}

void Membership::RenewForPeer(const Renewal& renewal, link::OnReply on_reply) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_peer_renewals.push_back({renewal, std::move(on_reply)});
  }
  m_task.WakeUp();
}

void Membership::RenewPeers() {
  std::vector<PeerRenewal> renewals;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    renewals = std::exchange(m_peer_renewals, {});
  }
  for (PeerRenewal& peer : renewals) {
    link::Reply reply{link::ReplyStatus::kRefused, {}};
    try {
      if (const auto is_new = WriteRenewal(peer.renewal)) {
        reply = {link::ReplyStatus::kOk, control::Encode(*is_new)};
      }
    } catch (const storage::Unavailable&) {
      // The peer gets a refusal and sends its next request to another gateway.
    }
    m_links.Post(
        [on_reply = std::move(peer.on_reply), reply] { on_reply(reply); });
  }
}

void Membership::Leave() {
  m_task.Stop();
  const records::MemberRecord member = m_describe();
  const std::string key = records::MemberKey(member.gateway);
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions.push_back(
      storage::Condition::FieldIs(key, "incarnation", member.incarnation));
  transaction.writes.push_back({key, std::nullopt});
  try {
    m_table.Commit(transaction);
  } catch (const storage::Unavailable&) {
    // The controller removes the row when the membership expires.
  }
}

}  // namespace shallotwick::gateway
