#include "pool_runner.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"
#include "job_tables.h"
#include "roster_rows.h"
#include "scheduling/job_record.h"

namespace shallotwick::scheduler {
namespace {

// Batches jobs that arrive at about the same time.
constexpr auto kJobBatchDelay = std::chrono::milliseconds(25);
constexpr auto kJobIdleTimeout = std::chrono::milliseconds(300);
// Batches events into one scheduling pass.
constexpr auto kWakeDelay = std::chrono::milliseconds(8);
constexpr auto kTickPeriod = std::chrono::milliseconds(100);
// An owner has noticed any restart of its targets by this time.
constexpr auto kMaxRestartNoticeTime = std::chrono::milliseconds(20'000);
constexpr auto kReadRetryDelay = std::chrono::milliseconds(200);
// A started target appears in the platform's host list within this time.
constexpr auto kMaxListingDelay = std::chrono::milliseconds(3'000);
// Longer than the bursts of a recovery, and short against a change of owner
// that is worth its cost.
constexpr auto kOverloadTime = std::chrono::milliseconds(3'000);
// An owner that could not hand its pool over tries again after this time.
constexpr auto kHandoverRetryTime = std::chrono::seconds(15);
// Run numbers reserved per term; the next term starts above them.
constexpr int64_t kRunsPerTerm = 1'000;
// Fencing tokens per ownership. With versions of up to 2^39, tokens can be
// represented exactly as floating-point numbers.
constexpr uint64_t kFencesPerOwnership = 16'384;

scheduling::PoolSchedulerOptions MakeSchedulerOptions(
    const PoolRunnerOptions& options) {
  scheduling::PoolSchedulerOptions scheduler;
  scheduler.first_fence = options.owner_version * kFencesPerOwnership;
  scheduler.last_fence = scheduler.first_fence + kFencesPerOwnership - 1;
  scheduler.first_run = (options.term - 1) * kRunsPerTerm + 1;
  scheduler.lease = options.lease;
  scheduler.max_lease = options.max_lease;
  scheduler.max_stop_time = options.max_stop_time;
  return scheduler;
}

const char* NameOf(scheduling::OrderOutcome outcome) {
  using scheduling::OrderOutcome;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kOutdated:
      return "outdated";
    case OrderOutcome::kLeaseExpired:
      return "lease-expired";
    case OrderOutcome::kNoCapacity:
      return "no-room";
    case OrderOutcome::kNoTicket:
      return "no-ticket";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kOtherIncarnation:
      return "other-incarnation";
    case OrderOutcome::kNotSent:
      return "not-sent";
    case OrderOutcome::kUnknown:
      return "unknown";
    case OrderOutcome::kInvalid:
      return "invalid";
  }
  return "unknown";
}

// Throws std::runtime_error unless the row is that of a job that could have
// been submitted.
scheduling::JobSpec DecodeJob(const storage::VersionedRow& row) {
  scheduling::JobSpec job = scheduling::DecodeJobRecord(row.value);
  if (job.id != row.key.key) {
    throw std::runtime_error("id: is not that of the key");
  }
  scheduling::RequireValidJob(job);
  return job;
}

}  // namespace

PoolRunner::PoolRunner(base::EventLoop& loop, storage::RowStore& store,
                       scheduling::TargetOrders& orders,
                       base::MetricRegistry& metrics,
                       const PoolRunnerOptions& options)
    : m_loop(loop),
      m_store(store),
      m_orders(orders),
      m_metrics(metrics),
      m_options(options),
      m_scheduler(MakeSchedulerOptions(options)),
      m_jobs(loop, store,
             {GetJobTable(options.service),
              {options.service},
              kJobBatchDelay,
              kJobIdleTimeout}),
      m_progress_reader(loop, store),
      m_took_over_at(base::RuntimeClock::now()),
      m_load(metrics, options.service, m_took_over_at),
      m_limits(store, metrics, options.service, options.owner_version),
      m_customer_report(options.service),
      m_progress_parts(options.service),
      m_mover(loop, store, metrics, options.service, options.owner_version) {
  m_scheduler.m_on_decision =
      [this](const scheduling::SchedulingDecision& note) { LogDecision(note); };
  m_scheduler.m_may_host_be_leaving = [this](const std::string& host) {
    return m_may_host_be_leaving(host);
  };
  m_scheduler.m_on_wrong_target_end =
      [this](const scheduling::WrongTargetEnd& wrong) {
        LogWrongTargetEnd(wrong);
      };
  m_limits.m_on_change = [this] {
    m_scheduler.SetCustomerAllowances(m_limits.GetAllowances());
    Wake();
  };
  m_mover.m_on_end = [this](const scheduling::MovedJob& job,
                            uint64_t mark_version) {
    OnMoveEnded(job, mark_version);
  };
  m_mover.m_on_changed = [this](const storage::VersionedRow& progress) {
    const auto summary = ReadSummary(progress);
    if (summary && scheduling::IsTerminal(summary->state)) {
      // A caller has cancelled the job; the feed has not told of it yet.
      m_removed_while_moving.insert(progress.key.key);
    } else {
      m_progress_versions[progress.key.key] = progress.version;
    }
  };
  m_mover.m_on_returned = [this] {
    AbandonPool("a job has moved and returned without an answer");
  };
  m_mover.m_on_owner_changed = [this] { AbandonPool("owner row has changed"); };
  m_mover.m_on_placement_changed = [this] { m_on_placement_changed(); };
  m_jobs.m_on_reset = [this](const std::vector<storage::VersionedRow>& rows) {
    OnJobsReset(rows);
  };
  m_jobs.m_on_change = [this](const storage::VersionedRow& row) {
    OnJobChanged(row);
  };
  const auto on_page = [this](const storage::RowReadResult& page) {
    if (!m_is_loaded) {
      m_load.OnPage(page, base::RuntimeClock::now());
    }
  };
  m_jobs.m_on_page = on_page;
  m_progress_reader.m_on_page = on_page;
}

void PoolRunner::Start() {
  m_lease_limit = m_get_lease_limit();
  ReadRoster();
  CheckLoadPeriodically();
}

void PoolRunner::CheckLoadPeriodically() {
  if (m_is_loaded || m_is_lost) {
    return;
  }
  const auto now = base::RuntimeClock::now();
  m_load.Check(now);
  if (m_load.IsStalled(now)) {
    // Nothing may be done for the pool from here on.
    m_is_lost = true;
    base::Log(base::events::kPoolGivenUp,
              {{"pool", m_options.service},
               {"term", std::to_string(m_options.term)}});
    // The callback may remove this runner.
    m_loop.Post(
        m_lifetime.Guard([on_failed = m_on_load_failed] { on_failed(); }));
    return;
  }
  m_loop.RunAfter(kTickPeriod,
                  m_lifetime.Guard([this] { CheckLoadPeriodically(); }));
}

void PoolRunner::SetConfig(const scheduling::ServingConfig& config) {
  m_scheduler.SetRoutes(config.GetPolicies());
  m_scheduler.SetCustomers(config.customers);
  m_limits.SetCustomers(config.customers);
  Wake();
}

void PoolRunner::ReadRoster() {
  storage::RowRange range;
  range.table = kRosterTable;
  range.part = m_options.service;
  m_store.Read(range,
               m_lifetime.Guard([this](const storage::RowReadResult& result) {
                 m_load.OnPage(result, base::RuntimeClock::now());
                 if (result.is_read) {
                   OnRosterRead(result);
                   return;
                 }
                 m_loop.RunAfter(kReadRetryDelay,
                                 m_lifetime.Guard([this] { ReadRoster(); }));
               }));
}

void PoolRunner::OnRosterRead(const storage::RowReadResult& result) {
  const auto now = base::RuntimeClock::now();
  m_roster_rows = result.rows.size();
  for (const storage::VersionedRow& row : result.rows) {
    if (row.key == MakeRosterKey(m_options.service)) {
      m_roster_version = row.version;
    }
    for (const auto& [id, address] : DecodeRoster(row)) {
      scheduling::TargetEntry entry;
      entry.id = id;
      entry.service = m_options.service;
      entry.address = address;
      m_scheduler.AddRosterTarget(entry, now, HasJustStarted(id));
      m_stored_roster[id] = entry.address;
    }
  }
  m_is_roster_read = true;
  SetTargets(m_targets_at_start);
  ReadProgress();
}

bool PoolRunner::HasJustStarted(const std::string& target) const {
  const auto found = m_targets_at_start.find(target);
  return found != m_targets_at_start.end() &&
         found->second.incarnation_started_ms >
             m_get_unix_ms() - kMaxRestartNoticeTime.count();
}

// Progress is read before the jobs: a job added in between has no progress yet,
// and one that ends in between no longer appears among the jobs.
void PoolRunner::ReadProgress() {
  m_load.SetStep("progress");
  m_progress_reader.Read(
      GetProgressTable(m_options.service), m_options.service,
      [this](const storage::RowReadResult& result) {
        for (const storage::VersionedRow& row : result.rows) {
          const auto [job, part] = SplitProgressKey(row.key.key);
          if (!part.empty()) {
            m_progress_parts.OnLoaded(job, part, row.value);
            continue;
          }
          m_loaded_progress[job] = row;
          RecordJobIfEnded(row);
        }
        for (const std::string& job : m_progress_parts.ListJobs()) {
          if (m_loaded_progress.count(job) == 0) {
            RecordEndedJob(job, scheduling::JobState::kCancelled);
          }
        }
        m_load.SetStep("jobs");
        m_jobs.Start();
      });
}

void PoolRunner::OnJobsReset(const std::vector<storage::VersionedRow>& rows) {
  std::set<std::string> present;
  m_deferred_jobs.clear();
  m_arriving_jobs.clear();
  for (const storage::VersionedRow& row : rows) {
    present.insert(row.key.key);
    AddJob(row);
  }
  if (m_is_loaded) {
    // After the store has dropped change history, jobs that no longer exist
    // were cancelled in the meantime, unless this owner has removed them.
    std::vector<std::string> gone;
    for (const auto& [id, version] : m_progress_versions) {
      if (present.count(id) == 0 && m_scheduler.IsActive(id)) {
        gone.push_back(id);
      }
    }
    for (const std::string& id : gone) {
      OnJobRowRemoved(id);
    }
  }
  m_loaded_progress.clear();
  if (!m_is_loaded) {
    m_is_loaded = true;
    base::Log(base::events::kPoolLoaded,
              {{"pool", m_options.service},
               {"term", std::to_string(m_options.term)},
               {"fence", std::to_string(m_options.owner_version)},
               {"jobs", std::to_string(m_scheduler.GetJobCount())}});
    RunPeriodically();
  }
  Wake();
}

void PoolRunner::OnJobChanged(const storage::VersionedRow& row) {
  if (row.key.part != m_options.service) {
    return;
  }
  if (!row.is_removed) {
    AddJob(row);
  } else {
    OnJobRowRemoved(row.key.key);
  }
  Wake();
}

void PoolRunner::OnJobRowRemoved(const std::string& job) {
  m_deferred_jobs.erase(job);
  m_arriving_jobs.erase(job);
  if (m_mover.IsMoving(job)) {
    // The answer to the move tells whether it was cancelled.
    m_removed_while_moving.insert(job);
  } else if (m_scheduler.IsActive(job)) {
    // The owner removes only the rows of ended jobs, so a caller has cancelled
    // this job.
    RemoveCancelledJob(job);
  }
}

// Versions come from one counter of the whole store, and a previous owner
// starts a job only if it has read the job's row while its ownership was
// confirmed, thus before the takeover.
void PoolRunner::AddJob(const storage::VersionedRow& row,
                        bool is_progress_current) {
  const std::string& id = row.key.key;
  const bool predates_ownership = row.version < m_options.owner_version;
  if (m_scheduler.HasJob(id) || m_arriving_jobs.count(id) > 0) {
    return;
  }
  const auto ended = m_ended_jobs.find(id);
  if (ended != m_ended_jobs.end()) {
    const bool has_returned =
        ended->second.state == scheduling::JobState::kMoved &&
        row.version > ended->second.version;
    if (!has_returned) {
      return;
    }
    m_ended_jobs.erase(ended);
  }
  if (row.value == scheduling::EncodeWithdrawal()) {
    RecordEndedJob(id, scheduling::JobState::kWithdrawn);
    return;
  }
  const bool may_be_successors = m_is_loaded || !predates_ownership;
  if (may_be_successors && !IsOwnershipConfirmed()) {
    m_deferred_jobs[id] = row;
    return;
  }
  try {
    scheduling::JobSpec spec = DecodeJob(row);
    scheduling::JobProgress progress = scheduling::MakeInitialProgress(spec);
    // A job and its initial progress are written in one transaction and have
    // the same version.
    uint64_t version = row.version;
    const auto loaded = m_loaded_progress.find(id);
    // A job that another service had comes with its progress, also while the
    // pool is being read.
    const bool is_progress_known =
        is_progress_current || (loaded == m_loaded_progress.end()
                                    ? !spec.has_earlier_progress
                                    : loaded->second.version >= row.version ||
                                          spec.last_earlier_run == 0);
    if (!is_progress_known) {
      ReadArrivedProgress(row);
      return;
    }
    if (loaded != m_loaded_progress.end()) {
      progress = scheduling::DecodeProgressRows(
          spec, {loaded->second.value, m_progress_parts.GetParts(id)});
      version = loaded->second.version;
    }
    if (scheduling::IsTerminal(progress.state)) {
      return;
    }
    m_progress_versions[id] = version;
    // Jobs left by the previous owner are a backlog and do not predict future
    // arrivals.
    // After a gap of the store, the feed delivers jobs that arrived over a
    // longer time at once.
    if (!predates_ownership) {
      const auto age = std::chrono::milliseconds(
          std::max(int64_t{0}, m_get_unix_ms() - spec.accepted_ms));
      m_arrivals.Add(m_scheduler.PredictCoreSeconds(spec),
                     base::RuntimeClock::now() - age);
    }
    m_scheduler.AddJob(std::move(spec), progress, predates_ownership);
  } catch (const std::runtime_error& error) {
    base::Log(
        base::events::kStoreContentInvalid,
        {{"pool", m_options.service}, {"job", id}, {"fault", error.what()}});
  }
}

void PoolRunner::ReadArrivedProgress(const storage::VersionedRow& row) {
  const std::string& id = row.key.key;
  m_arriving_jobs[id] = row;
  storage::RowRange range;
  range.table = GetProgressTable(m_options.service);
  range.part = m_options.service;
  range.from = id;
  range.until = id + '0';
  m_store.Read(range, m_lifetime.Guard(
                          [this, row](const storage::RowReadResult& result) {
                            OnArrivedProgressRead(row, result);
                          }));
}

void PoolRunner::OnArrivedProgressRead(const storage::VersionedRow& job,
                                       const storage::RowReadResult& result) {
  const std::string& id = job.key.key;
  const auto arriving = m_arriving_jobs.find(id);
  if (arriving == m_arriving_jobs.end() ||
      arriving->second.version != job.version || m_is_lost) {
    return;
  }
  if (!result.is_read) {
    m_loop.RunAfter(kReadRetryDelay, m_lifetime.Guard([this, job] {
      const auto still = m_arriving_jobs.find(job.key.key);
      if (still != m_arriving_jobs.end() &&
          still->second.version == job.version) {
        ReadArrivedProgress(job);
      }
    }));
    return;
  }
  m_arriving_jobs.erase(arriving);
  // The feed tells of a job that has ended or moved on.
  if (result.rows.empty() || result.rows.front().key.key != id) {
    return;
  }
  for (const storage::VersionedRow& row : result.rows) {
    const std::string part = SplitProgressKey(row.key.key).second;
    if (!part.empty()) {
      m_progress_parts.OnLoaded(id, part, row.value);
    }
  }
  m_loaded_progress[id] = result.rows.front();
  AddJob(job, true);
  m_loaded_progress.erase(id);
  Wake();
}

// While this host's session is not valid, another host may have become the
// owner and may start jobs that this host has not seen before. Jobs that it has
// seen are safe: the other owner holds them back until it knows what runs on
// every target of the roster, or until the leases there have expired.
bool PoolRunner::IsOwnershipConfirmed() const {
  return m_is_session_valid() && m_get_lapse_count() == m_confirmed_lapse_count;
}

void PoolRunner::AddDeferredJobs() {
  for (const auto& [id, row] : std::exchange(m_deferred_jobs, {})) {
    AddJob(row);
  }
}

void PoolRunner::SetTargets(
    const std::map<std::string, scheduling::TargetEntry>& targets) {
  if (!m_is_roster_read) {
    m_targets_at_start = targets;
    return;
  }
  const auto now = base::RuntimeClock::now();
  std::vector<std::string> gone;
  for (const auto& [id, target] : m_scheduler.GetTargets()) {
    if (targets.count(id) == 0 && target.m_is_registered) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    m_scheduler.RemoveTarget(id, now);
  }
  for (const auto& [id, entry] : targets) {
    m_scheduler.UpdateTarget(entry, now);
  }
  Wake();
}

void PoolRunner::OnTargetChanged(const scheduling::TargetEntry& entry) {
  if (!m_is_roster_read) {
    m_targets_at_start[entry.id] = entry;
    return;
  }
  m_scheduler.UpdateTarget(entry, base::RuntimeClock::now());
  Wake();
}

// Without this, the tasks of a crashed target wait for the end of its lease,
// and after a takeover all tasks of the pool do. A newly started target may be
// missing from the list; hence the minimum age and the second list. A host may
// be missing from lists that were read while others moved, so a target that is
// absent with its host has ended only if the lists are settled.
void PoolRunner::EndUnlistedTargets(const HostListing& listing) {
  if (!m_is_loaded || m_is_lost || listing.requested_at < m_took_over_at) {
    return;
  }
  std::map<std::string, UnlistedTarget> unlisted;
  const int64_t youngest_ms = m_get_unix_ms() - kMaxListingDelay.count();
  for (const std::string& id :
       m_scheduler.ListUnresponsiveTargets(listing.requested_at)) {
    const scheduling::TargetLedger& target = m_scheduler.GetTargets().at(id);
    const scheduling::TargetEntry& entry = target.GetEntry();
    if (listing.MayHaveTarget(entry) ||
        entry.incarnation_started_ms > youngest_ms) {
      continue;
    }
    const bool is_host_listed = listing.ShowsHostWithout(entry);
    const auto before = m_unlisted_targets.find(id);
    const bool has_reported_since =
        before == m_unlisted_targets.end() ||
        target.m_last_report_received >= before->second.since;
    if (has_reported_since) {
      unlisted[id] = {listing.requested_at, is_host_listed};
      continue;
    }
    const bool has_ended =
        is_host_listed ? before->second.is_host_listed : listing.is_settled;
    if (has_ended) {
      EndUnlistedTarget(id, is_host_listed ? "its host is listed without it"
                                           : "missing from the host lists");
    } else {
      unlisted[id] = before->second;
      unlisted[id].is_host_listed |= is_host_listed;
    }
  }
  m_unlisted_targets = std::move(unlisted);
}

void PoolRunner::EndUnlistedTarget(const std::string& id, const char* reason) {
  base::Log(base::events::kTargetEnded,
            {{"pool", m_options.service},
             {"target", id},
             {"runs", std::to_string(m_scheduler.CountRuns(id))},
             {"reason", reason}});
  m_scheduler.OnTargetEnded(id, reason);
  Wake();
}

void PoolRunner::OnTargetRemoved(const std::string& id) {
  if (!m_is_roster_read) {
    m_targets_at_start.erase(id);
    return;
  }
  m_scheduler.RemoveTarget(id, base::RuntimeClock::now());
  Wake();
}

void PoolRunner::Wake() {
  if (m_is_waking || !m_is_loaded || m_is_lost) {
    return;
  }
  m_is_waking = true;
  m_loop.RunAfter(kWakeDelay, m_lifetime.Guard([this] {
    m_is_waking = false;
    RunSchedulingPass();
  }));
}

void PoolRunner::RunPeriodically() {
  RunSchedulingPass();
  LogStartLimit();
  if (!m_is_lost && m_is_session_valid()) {
    RemoveExpiredProgress();
    ReportQueues();
    MoveJobs();
  }
  m_loop.RunAfter(kTickPeriod, m_lifetime.Guard([this] { RunPeriodically(); }));
}

void PoolRunner::RunSchedulingPass() {
  if (m_is_lost || !m_is_loaded) {
    return;
  }
  if (m_scheduler.IsSuperseded()) {
    AbandonPool("a target has accepted a higher fencing token");
    return;
  }
  if (m_is_session_valid() && !IsOwnershipConfirmed()) {
    ConfirmOwnership();
  }
  const auto now = base::RuntimeClock::now();
  if (CanGrantLeases() && !m_on_quiesced) {
    WriteRoster();
    m_scheduler.SetLeaseLimit(UpdateLeaseLimit());
    m_scheduler.SetOwnershipConfirmed(IsOwnershipConfirmed());
    SendOrders(m_scheduler.Decide(now, m_get_unix_ms()));
    m_limits.Update(m_scheduler.GetCustomerBudget().GetNeeds(),
                    m_scheduler.AreFormerRunsKnown(now), now);
    m_customer_report.Update(m_scheduler.GetCustomerBudget(), now);
    if (CanGrantLeases()) {
      SendReports(now);
    }
  }
  ScheduleCommit();
}

bool PoolRunner::CanGrantLeases() {
  return base::RuntimeClock::now() < UpdateLeaseLimit();
}

// A renewal of the session does not show that no other host has taken over
// since the session lapsed, and that host reckons with the leases that were
// granted before.
base::TimePoint PoolRunner::UpdateLeaseLimit() {
  const base::TimePoint session_limit = m_get_lease_limit();
  m_lease_limit = IsOwnershipConfirmed()
                      ? session_limit
                      : std::min(m_lease_limit, session_limit);
  return m_lease_limit;
}

void PoolRunner::SendReports(base::TimePoint now) {
  for (const scheduling::ReportOrder& order :
       m_scheduler.CreateReportOrders(now)) {
    m_orders.Report(
        order, m_lifetime.Guard([this, order,
                                 now](const scheduling::ReportResult& result) {
          CountOutcome("report", result.outcome);
          const auto received = base::RuntimeClock::now();
          if (result.outcome == scheduling::OrderOutcome::kAccepted) {
            // The session may have lapsed since the last pass.
            m_scheduler.SetOwnershipConfirmed(IsOwnershipConfirmed());
            m_scheduler.OnReport(order, now, received, result.report);
          } else {
            m_scheduler.OnReportFailed(order, result.outcome, received);
          }
          Wake();
        }));
  }
}

std::function<void(scheduling::OrderResult)> PoolRunner::TrackOrder(
    const char* order,
    std::function<void(const scheduling::OrderResult&)> on_result) {
  ++m_orders_in_flight;
  return m_lifetime.Guard([this, order, sent = base::RuntimeClock::now(),
                           on_result = std::move(on_result)](
                              const scheduling::OrderResult& result) {
    --m_orders_in_flight;
    CountOutcome(order, result.outcome);
    m_metrics
        .GetSummary("shallotwick_order_seconds",
                    {{"order", order}, {"outcome", NameOf(result.outcome)}})
        .Record(std::chrono::duration<double>(base::RuntimeClock::now() - sent)
                    .count());
    on_result(result);
  });
}

void PoolRunner::SendOrders(const scheduling::PoolOrders& orders) {
  using scheduling::OrderResult;
  for (const scheduling::StartOrder& order : orders.starts) {
    // The process may have been suspended since the decision.
    if (!CanGrantLeases()) {
      m_scheduler.OnStartResult(order, {scheduling::OrderOutcome::kNotSent, {}},
                                base::RuntimeClock::now());
      continue;
    }
    m_orders.Start(
        order, TrackOrder("start", [this, order](const OrderResult& result) {
          m_scheduler.OnStartResult(order, result, base::RuntimeClock::now());
          Wake();
        }));
  }
  SendStops(orders.stops);
  for (const scheduling::PaceOrder& order : orders.paces) {
    m_orders.Pace(order,
                  TrackOrder("pace", [this, order](const OrderResult& result) {
                    m_scheduler.OnPaceResult(order, result);
                    Wake();
                  }));
  }
}

void PoolRunner::SendStops(const std::vector<scheduling::StopOrder>& orders) {
  for (const scheduling::StopOrder& order : orders) {
    m_orders.Stop(
        order, TrackOrder("stop",
                          [this, order](const scheduling::OrderResult& result) {
                            OnStopResult(order, result);
                          }));
  }
}

void PoolRunner::OnStopResult(const scheduling::StopOrder& order,
                              const scheduling::OrderResult& result) {
  const auto now = base::RuntimeClock::now();
  m_scheduler.OnStopResult(order, result, now);
  if (!m_is_lost && !m_on_quiesced && CanGrantLeases()) {
    SendStops(m_scheduler.CreateStopOrders(order.target, now));
  }
  // An accepted stop changes nothing for other orders until its run is listed
  // as ended.
  if (result.outcome != scheduling::OrderOutcome::kAccepted || m_on_quiesced) {
    Wake();
  }
}

std::optional<scheduling::JobState> PoolRunner::FindState(
    const std::string& job) const {
  const auto ended = m_ended_jobs.find(job);
  if (ended != m_ended_jobs.end()) {
    // That a job was cancelled is concluded from its missing row only. A
    // withdrawn job is none.
    const scheduling::JobState state = ended->second.state;
    const bool is_uncertain = state == scheduling::JobState::kCancelled ||
                              state == scheduling::JobState::kWithdrawn ||
                              state == scheduling::JobState::kMoved;
    return is_uncertain ? std::nullopt : std::optional(state);
  }
  // Another owner may know more.
  if (!IsOwnershipConfirmed() || m_mover.IsMoving(job)) {
    return std::nullopt;
  }
  // An end that is not stored may be lost with its target.
  const auto state = m_scheduler.FindState(job);
  return state && scheduling::IsTerminal(*state)
             ? std::optional(scheduling::JobState::kRunning)
             : state;
}

bool PoolRunner::IsOverloaded() const {
  const auto now = base::RuntimeClock::now();
  const bool may_be_handed_over =
      m_is_loaded && !m_is_lost &&
      (!m_resumed_at || now >= *m_resumed_at + kHandoverRetryTime);
  return may_be_handed_over &&
         m_scheduler.GetStartWindow().GetLimitedTime(now) >= kOverloadTime;
}

void PoolRunner::Resume() {
  m_on_quiesced = nullptr;
  m_resumed_at = base::RuntimeClock::now();
}

void PoolRunner::Quiesce(std::function<void()> on_quiesced) {
  m_on_quiesced = std::move(on_quiesced);
  if (!m_is_loaded) {
    std::exchange(m_on_quiesced, nullptr)();
    m_is_lost = true;
    return;
  }
  Wake();
}

void PoolRunner::AbandonPool(const char* reason) {
  if (m_is_lost) {
    return;
  }
  m_is_lost = true;
  base::Log(base::events::kPoolLost, {{"pool", m_options.service},
                                      {"term", std::to_string(m_options.term)},
                                      {"reason", reason}});
  // The callback may remove this runner.
  m_loop.Post(m_lifetime.Guard([on_lost = m_on_lost] { on_lost(); }));
}

void PoolRunner::CountOutcome(const char* order,
                              scheduling::OrderOutcome outcome) {
  m_metrics
      .GetCounter("shallotwick_orders_total",
                  {{"order", order}, {"outcome", NameOf(outcome)}})
      .Increment();
}

void PoolRunner::LogStartLimit() {
  const scheduling::StartWindow& window = m_scheduler.GetStartWindow();
  if (window.IsReduced() == m_are_starts_limited) {
    return;
  }
  m_are_starts_limited = window.IsReduced();
  base::Log(base::events::kStartsLimited,
            {{"pool", m_options.service},
             {"limited", m_are_starts_limited ? "true" : "false"},
             {"window", std::to_string(window.GetSize())},
             {"in_flight", std::to_string(window.GetInFlight())}});
}

void PoolRunner::LogWrongTargetEnd(const scheduling::WrongTargetEnd& wrong) {
  base::Log(
      base::events::kTargetAlive,
      {{"pool", m_options.service},
       {"target", wrong.end.target},
       {"incarnation", std::to_string(wrong.incarnation_started_ms)},
       {"ended_incarnation", std::to_string(wrong.end.incarnation_started_ms)},
       {"reason", wrong.end.reason},
       {"lost", std::to_string(wrong.end.lost_runs.size())},
       {"present", std::to_string(wrong.present_runs)},
       {"fence", std::to_string(m_options.owner_version)}});
  m_metrics
      .GetCounter("shallotwick_wrong_target_ends_total",
                  {{"reason", wrong.end.reason}})
      .Increment();
}

void PoolRunner::LogDecision(const scheduling::SchedulingDecision& note) const {
  base::Log(base::events::kTaskDecision,
            {{"pool", m_options.service},
             {"what", note.what},
             {"job", note.task.job},
             {"occurrence", std::to_string(note.task.occurrence)},
             {"step", std::to_string(note.task.step)},
             {"index", std::to_string(note.task.index)},
             {"run", std::to_string(note.run)},
             {"target", note.target},
             {"incarnation", std::to_string(note.incarnation_started_ms)},
             {"state", note.state},
             {"reason", note.reason},
             {"fence", std::to_string(m_options.owner_version)}});
}

}  // namespace shallotwick::scheduler
