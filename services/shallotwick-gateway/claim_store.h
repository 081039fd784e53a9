#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "base/metrics.h"
#include "base/runtime_clock.h"
#include "records/claim_record.h"
#include "storage/object_store.h"
#include "storage/table_service.h"

namespace shallotwick::gateway {

// The claim is this attempt's: the request may be sent.
struct Claimed {};
// Another attempt's row stands for the key.
struct ClaimTaken {
  records::ClaimRecord record;
};
// The table service does not answer; whether the row was written is not known.
struct ClaimUnavailable {};
using ClaimResult = std::variant<Claimed, ClaimTaken, ClaimUnavailable>;

struct ClaimStoreOptions {
  // Claims written by one transaction at the most.
  size_t largest_batch = 64;
  // Larger bodies of kept answers go to the object store.
  size_t largest_inline_body_bytes = size_t{16} * 1024;
  // How long an answer is tried to be kept while the table service is down.
  base::Duration record_limit = std::chrono::seconds(60);
  base::Duration retry_delay = std::chrono::milliseconds(200);
};

// Keeps the claims of non-idempotent requests in the table service. One thread
// writes them, those that come together in one transaction. What became of a
// write whose answer was lost is read from the rows themselves.
class ClaimStore {
 public:
  using OnClaimed = std::function<void(ClaimResult)>;
  using OnRead =
      std::function<void(std::optional<records::ClaimRecord>, bool answered)>;

  ClaimStore(storage::TableService& table, storage::ObjectStore& objects,
             ClaimStoreOptions options);
  // Refuses what waits.
  ~ClaimStore();
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  // Writes a claim unless there is one. `on_claimed` is called on the store's
  // thread.
  void Acquire(const std::string& key, records::ClaimRecord record,
               base::TimePoint deadline, OnClaimed on_claimed);
  // Replaces the attempt's claim by its end. Calls `on_end` when that is kept
  // or was tried once.
  void Record(const std::string& key, records::ClaimRecord record,
              std::function<void()> on_end);
  // Removes the attempt's claim: the request was not run.
  void Release(const std::string& key, const std::string& attempt);
  // Reads a claim, with its body if that is kept apart.
  void Read(const std::string& key, OnRead on_read);

  // Waits until all ends are kept, at the most so long. Returns whether they
  // are.
  bool Drain(base::Duration limit);

 private:
  enum class Kind { kAcquire, kRecord, kRelease, kRead };

  struct Operation {
    Kind kind = Kind::kRead;
    std::string key;
    records::ClaimRecord record;
    base::TimePoint deadline;
    OnClaimed on_claimed;
    std::function<void()> on_end;
    OnRead on_read;
  };
  using Batch = std::vector<Operation>;

  void Enqueue(Operation operation);
  bool IsStopping();
  void RunThread();
  Batch TakeBatch();
  void RunReads(Batch* batch);
  // Commits the batch; leaves in it what has no result yet.
  void RunWrites(Batch* batch);
  void StoreLargeBodies(Batch* batch);
  storage::Transaction MakeTransaction(const Batch& batch) const;
  // Ends the operations that the present rows settle.
  void SettleFromRows(Batch* batch);
  // Returns whether the row settles the operation; ends it then.
  bool Settle(Operation* operation,
              const std::optional<records::ClaimRecord>& row);
  void GiveUpOrKeep(Batch batch);
  std::optional<records::ClaimRecord> ReadBody(records::ClaimRecord record);

  storage::TableService& m_table;
  storage::ObjectStore& m_objects;
  ClaimStoreOptions m_options;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<Operation> m_waiting;
  bool m_busy = false;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace shallotwick::gateway
