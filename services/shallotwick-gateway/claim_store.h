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

// This attempt owns the claim, so the request may be sent.
struct Claimed {};
// Another attempt owns the claim for the key.
struct ClaimConflict {
  records::ClaimRecord record;
};
// The table service did not respond; the row may or may not have been written.
struct ClaimUnavailable {};
using ClaimResult = std::variant<Claimed, ClaimConflict, ClaimUnavailable>;

struct ClaimStoreOptions {
  // Maximum number of operations in one batch, and so of claims written by one
  // transaction.
  size_t max_batch_size = 64;
  // Bodies of recorded responses that exceed this go to the object store.
  size_t max_inline_body_bytes = size_t{16} * 1024;
  // How long writes of outcomes and releases are retried while the table
  // service is down.
  base::Duration record_timeout = std::chrono::seconds(60);
  base::Duration retry_delay = std::chrono::milliseconds(200);
};

// Stores the claims of non-idempotent requests in the table service. A single
// thread writes them and combines concurrent operations into one transaction.
// If the response to a write is lost, the rows are read to find out whether the
// write took effect.
class ClaimStore {
 public:
  using OnClaimed = std::function<void(ClaimResult)>;
  // `available` is false if the claim or its body could not be read.
  using OnRead =
      std::function<void(std::optional<records::ClaimRecord>, bool available)>;

  ClaimStore(storage::TableService& table, storage::ObjectStore& objects,
             ClaimStoreOptions options);
  // Processes the waiting operations once, without requeuing any, and stops the
  // thread. Acquisitions that fail in this way report ClaimUnavailable.
  ~ClaimStore();
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  // Writes a claim unless the key already has one. Calls `on_claimed` on the
  // claim store's thread.
  void Acquire(const std::string& key, records::ClaimRecord record,
               base::TimePoint deadline, OnClaimed on_claimed);
  // Replaces the attempt's claim with its outcome. Calls `on_end` once the
  // outcome is stored or the first attempt to store it has failed.
  void Record(const std::string& key, records::ClaimRecord record,
              std::function<void()> on_end);
  // Removes the attempt's claim, as the request was not run.
  void Release(const std::string& key, const std::string& attempt);
  // Reads a claim. Its body is fetched from the object store if it is there.
  void Read(const std::string& key, OnRead on_read);

  // Waits for at most `limit` until no operation is queued or running. Returns
  // whether that state was reached.
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
  Batch DequeueBatch();
  void RunReads(Batch* batch);
  // Commits the batch. Operations without a result remain in it.
  void RunWrites(Batch* batch);
  void StoreLargeBodies(Batch* batch);
  storage::Transaction MakeTransaction(const Batch& batch) const;
  // Reads the rows of the batch, completes the operations that they resolve,
  // and removes these from the batch.
  void ResolveFromRows(Batch* batch);
  // Returns whether the row resolves the operation. If so, calls its callback.
  bool ResolveOperation(Operation* operation,
                        const std::optional<records::ClaimRecord>& row);
  void FailOrRequeue(Batch batch);
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
