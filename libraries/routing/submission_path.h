#pragma once

namespace shallotwick::routing {

// Where a host that has received a job has it stored.
enum class SubmissionPath {
  // By a transaction of its own.
  kStore,
  // Together with jobs that other hosts hand in, as it owns the pool.
  kOwnBatch,
  // By the owner of the pool.
  kOwner,
  // Nowhere; the job is refused at once.
  kNone,
};

// What the host knows about the ways to store a job.
struct SubmissionRoutes {
  bool is_store_away = false;
  // The store's answers take much longer than usual.
  bool is_store_slow = false;
  bool is_owner = false;
  bool is_owner_known = false;
  // The owner has refused a job a short time ago.
  bool is_owner_refusing = false;
};

// Chooses how a job is stored. Answers the load of a store that is slow, or
// that turns some hosts away: the pool's owner stores the jobs of all hosts,
// many per transaction.
SubmissionPath ChooseSubmissionPath(const SubmissionRoutes& routes);

}  // namespace shallotwick::routing
