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

// Two rounds of a delay and a wait for a peer fit into the membership limit.
constexpr int kWaitsPerLimit = 4;

}  // namespace

MembershipOptions MakeMembershipOptions(base::Duration membership_limit) {
  MembershipOptions options;
  const base::Duration longest_wait = membership_limit / kWaitsPerLimit;
  options.longest_retry_delay =
      std::min(options.longest_retry_delay, longest_wait);
  options.peer_timeout = std::min(
      options.peer_timeout,
      std::chrono::duration_cast<std::chrono::milliseconds>(longest_wait));
  options.period =
      std::min(options.period, longest_wait / options.periods_per_renewal);
  return options;
}

Membership::Membership(storage::TableService& table, control::StoreWatch& watch,
                       ViewKeeper& views, control::LinkThread& links,
                       std::function<records::MemberRecord()> describe,
                       MembershipOptions options)
    : m_table(table),
      m_watch(watch),
      m_views(views),
      m_links(links),
      m_describe(std::move(describe)),
      m_options(options),
      m_backoff(options.period, options.longest_retry_delay),
      m_task([this] { return RunRound(); }) {}

base::Duration Membership::RunRound() {
  RenewPeers();
  try {
    // The row goes before the view: from then on no controller acts without
    // this gateway, and the view that is read next has all that was done until
    // then.
    if (m_rounds % m_options.periods_per_renewal == 0 || !m_joined) {
      Renew(base::RuntimeClock::now());
    }
    const base::TimePoint sent_at = base::RuntimeClock::now();
    const control::RowSet rows(
        m_table.Read(storage::ReadRequest{{records::kViewHeadKey}, {}}));
    m_watch.ReportAnswer();
    const auto head = rows.Find<records::ViewHeadRecord>(records::kViewHeadKey);
    if (head) {
      LookForView(head->version, sent_at);
    }
    ++m_rounds;
  } catch (const storage::Unavailable& error) {
    m_watch.ReportFailure(error.what());
    m_views.ReportStoreUnreachable();
    RenewThroughPeer();
    return m_backoff.NextDelay(base::MakeRandomFraction());
  }
  m_backoff.Reset();
  return base::SpreadPeriod(m_options.period, base::MakeRandomFraction());
}

void Membership::LookForView(uint64_t head_version, base::TimePoint sent_at) {
  if (head_version > m_views.GetVersion()) {
    const control::RowSet rows(m_table.Read(control::MakeViewRead()));
    if (auto view = control::BuildView(rows)) {
      m_views.OfferView(std::move(*view), "table-service");
    }
  }
  m_views.ConfirmByStore(head_version, sent_at);
}

void Membership::Renew(base::TimePoint sent_at) {
  const std::optional<bool> is_new = WriteRenewal(m_describe());
  if (!is_new) {
    base::Log(base::events::kMemberLeaseLost,
              {{"gateway", m_describe().gateway}});
    m_joined = false;
    return;
  }
  m_joined = true;
  m_views.ConfirmMembership(sent_at, *is_new);
}

std::optional<bool> Membership::WriteRenewal(records::MemberRecord member) {
  const std::string key = records::MemberKey(member.gateway);
  const control::RowSet rows(m_table.Read(storage::ReadRequest{{key}, {}}));
  const auto row = rows.Find<records::MemberRecord>(key);
  const bool is_own = row && row->incarnation == member.incarnation;
  member.renewal = row ? row->renewal + 1 : 1;
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  transaction.conditions.push_back(
      storage::Condition::GenerationIs(key, rows.GetGeneration(key)));
  transaction.writes.push_back({key, nlohmann::json(member).dump()});
  // One that conflicts or whose answer is lost is made up for by the next one.
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
  m_links.Send(peers[m_next_peer++ % peers.size()],
               {control::kRenewPath, control::Encode(member)},
               m_options.peer_timeout,
               [this, sent_at](const link::Reply& reply) {
                 const auto is_new = control::Decode<bool>(reply.body);
                 if (reply.status == link::ReplyStatus::kOk && is_new) {
                   m_views.ConfirmMembership(sent_at, *is_new);
                 }
               });
}

void Membership::RenewForPeer(const records::MemberRecord& member,
                              link::OnReply on_reply) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_peer_renewals.push_back({member, std::move(on_reply)});
  }
  m_task.WakeUp();
}

void Membership::RenewPeers() {
  std::vector<PeerRenewal> renewals;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    renewals = std::exchange(m_peer_renewals, {});
  }
  for (PeerRenewal& renewal : renewals) {
    link::Reply reply{link::ReplyStatus::kRefused, {}};
    try {
      if (const auto is_new = WriteRenewal(renewal.member)) {
        reply = {link::ReplyStatus::kOk, control::Encode(*is_new)};
      }
    } catch (const storage::Unavailable&) {
      // The peer asks another one.
    }
    m_links.Post(
        [on_reply = std::move(renewal.on_reply), reply] { on_reply(reply); });
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
    // The row lapses by itself.
  }
}

}  // namespace shallotwick::gateway
