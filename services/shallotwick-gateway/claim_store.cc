#include "claim_store.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/random_identifier.h"
#include "control/row_set.h"

namespace shallotwick::gateway {
namespace {

// Attempts to commit a batch, each followed by a read of its rows. Operations
// without a result after the last one fail or are requeued.
constexpr int kMaxCommitAttempts = 3;

std::string BodyObjectKey(const records::ClaimRecord& record) {
  return "claim-body/" + record.attempt;
}

}  // namespace

ClaimStore::ClaimStore(storage::TableService& table,
                       storage::ObjectStore& objects, ClaimStoreOptions options)
    : m_table(table),
      m_objects(objects),
      m_options(options),
      m_thread([this] { RunThread(); }) {}

ClaimStore::~ClaimStore() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
  }
  m_thread.join();
}

void ClaimStore::Acquire(const std::string& key, records::ClaimRecord record,
                         base::TimePoint deadline, OnClaimed on_claimed) {
  Operation operation;
  operation.kind = Kind::kAcquire;
  operation.key = key;
  operation.record = std::move(record);
  operation.deadline = deadline;
  operation.on_claimed = std::move(on_claimed);
  Enqueue(std::move(operation));
}

void ClaimStore::Record(const std::string& key, records::ClaimRecord record,
                        std::function<void()> on_end) {
  Operation operation;
  operation.kind = Kind::kRecord;
  operation.key = key;
  operation.record = std::move(record);
  operation.deadline = base::RuntimeClock::now() + m_options.record_timeout;
  operation.on_end = std::move(on_end);
  Enqueue(std::move(operation));
}

void ClaimStore::Release(const std::string& key, const std::string& attempt) {
  Operation operation;
  operation.kind = Kind::kRelease;
  operation.key = key;
  operation.record.attempt = attempt;
  operation.deadline = base::RuntimeClock::now() + m_options.record_timeout;
  Enqueue(std::move(operation));
}

void ClaimStore::Read(const std::string& key, OnRead on_read) {
  Operation operation;
  operation.kind = Kind::kRead;
  operation.key = key;
  operation.on_read = std::move(on_read);
  Enqueue(std::move(operation));
}

bool ClaimStore::Drain(base::Duration limit) {
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_changed.wait_for(lock, limit,
                            [this] { return m_waiting.empty() && !m_busy; });
}

void ClaimStore::Enqueue(Operation operation) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_waiting.push_back(std::move(operation));
  m_changed.notify_all();
}

bool ClaimStore::IsStopping() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_stopping;
}

void ClaimStore::RunThread() {
  while (true) {
    Batch batch = DequeueBatch();
    if (batch.empty()) {
      return;
    }
    RunReads(&batch);
    RunWrites(&batch);
    FailOrRequeue(std::move(batch));
    std::lock_guard<std::mutex> lock(m_mutex);
    m_busy = false;
    m_changed.notify_all();
  }
}

// Waits for operations and dequeues those that fit into one transaction, which
// can hold at most one operation for each key.
ClaimStore::Batch ClaimStore::DequeueBatch() {
  std::unique_lock<std::mutex> lock(m_mutex);
  m_changed.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
  Batch batch;
  std::set<std::string> keys;
  std::deque<Operation> deferred;
  while (!m_waiting.empty()) {
    Operation operation = std::move(m_waiting.front());
    m_waiting.pop_front();
    if (batch.size() < m_options.max_batch_size &&
        keys.insert(operation.key).second) {
      batch.push_back(std::move(operation));
    } else {
      deferred.push_back(std::move(operation));
    }
  }
  m_waiting = std::move(deferred);
  m_busy = !batch.empty();
  return batch;
}

void ClaimStore::RunReads(Batch* batch) {
  storage::ReadRequest request;
  for (const Operation& operation : *batch) {
    if (operation.kind == Kind::kRead) {
      request.keys.push_back(operation.key);
    }
  }
  if (request.keys.empty()) {
    return;
  }
  std::optional<control::RowSet> rows;
  try {
    rows.emplace(m_table.Read(request));
  } catch (const storage::Unavailable&) {
  }
  for (Operation& operation : *batch) {
    if (operation.kind != Kind::kRead) {
      continue;
    }
    if (!rows) {
      operation.on_read(std::nullopt, false);
      continue;
    }
    auto record = rows->Find<records::ClaimRecord>(operation.key);
    if (record && !record->body_object.empty()) {
      record = ReadBody(std::move(*record));
      operation.on_read(record, record.has_value());
      continue;
    }
    operation.on_read(std::move(record), true);
  }
  std::erase_if(*batch, [](const Operation& operation) {
    return operation.kind == Kind::kRead;
  });
}

std::optional<records::ClaimRecord> ClaimStore::ReadBody(
    records::ClaimRecord record) {
  try {
    auto body = m_objects.Get(record.body_object);
    if (!body) {
      return std::nullopt;
    }
    record.body = std::move(*body);
    return record;
  } catch (const storage::Unavailable&) {
    return std::nullopt;
  }
}

void ClaimStore::RunWrites(Batch* batch) {
  StoreLargeBodies(batch);
  for (int commit_attempt = 0;
       commit_attempt < kMaxCommitAttempts && !batch->empty();
       ++commit_attempt) {
    try {
      const storage::CommitResult result =
          m_table.Commit(MakeTransaction(*batch));
      if (result.status == storage::CommitStatus::kCommitted) {
        for (Operation& operation : *batch) {
          if (operation.kind == Kind::kAcquire) {
            operation.on_claimed(Claimed{});
          } else if (operation.on_end) {
            operation.on_end();
          }
        }
        batch->clear();
        return;
      }
      ResolveFromRows(batch);
    } catch (const storage::Unavailable&) {
      try {
        ResolveFromRows(batch);
      } catch (const storage::Unavailable&) {
        return;
      }
    }
  }
}

// Moves large bodies to the object store. A body that can't be stored there
// stays in its record; the move is tried again if the record is requeued.
void ClaimStore::StoreLargeBodies(Batch* batch) {
  for (Operation& operation : *batch) {
    records::ClaimRecord& record = operation.record;
    if (record.body.size() <= m_options.max_inline_body_bytes) {
      continue;
    }
    try {
      m_objects.Put(BodyObjectKey(record), record.body);
      record.body_object = BodyObjectKey(record);
      record.body.clear();
    } catch (const storage::Unavailable&) {
    }
  }
}

storage::Transaction ClaimStore::MakeTransaction(const Batch& batch) const {
  storage::Transaction transaction;
  transaction.write_id = base::MakeRandomIdentifier();
  for (const Operation& operation : batch) {
    if (operation.kind == Kind::kAcquire) {
      transaction.conditions.push_back(
          storage::Condition::GenerationIs(operation.key, storage::kAbsent));
    } else {
      transaction.conditions.push_back(storage::Condition::FieldIs(
          operation.key, "attempt", operation.record.attempt));
    }
    storage::Write write{operation.key, std::nullopt};
    if (operation.kind != Kind::kRelease) {
      write.value = nlohmann::json(operation.record).dump();
    }
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

void ClaimStore::ResolveFromRows(Batch* batch) {
  storage::ReadRequest request;
  for (const Operation& operation : *batch) {
    request.keys.push_back(operation.key);
  }
  const control::RowSet rows(m_table.Read(request));
  Batch unresolved;
  for (Operation& operation : *batch) {
    const auto row = rows.Find<records::ClaimRecord>(operation.key);
    if (!ResolveOperation(&operation, row)) {
      unresolved.push_back(std::move(operation));
    }
  }
  *batch = std::move(unresolved);
}

bool ClaimStore::ResolveOperation(
    Operation* operation, const std::optional<records::ClaimRecord>& row) {
  const bool is_own = row && row->attempt == operation->record.attempt;
  switch (operation->kind) {
    case Kind::kAcquire:
      if (!row) {
        return false;
      }
      if (is_own) {
        operation->on_claimed(Claimed{});
      } else {
        operation->on_claimed(ClaimConflict{*row});
      }
      return true;
    case Kind::kRecord:
      if (is_own && row->state == records::ClaimState::kClaimed) {
        return false;
      }
      operation->on_end();
      return true;
    case Kind::kRelease:
      return !is_own;
    case Kind::kRead:
      return true;
  }
  return true;
}

// Fails acquisitions that the table service did not respond to. Outcomes and
// releases are requeued until their deadline.
void ClaimStore::FailOrRequeue(Batch batch) {
  bool has_requeued = false;
  const bool can_requeue = !IsStopping();
  for (Operation& operation : batch) {
    if (operation.kind == Kind::kAcquire) {
      operation.on_claimed(ClaimUnavailable{});
      // The write may have taken effect although its response was lost, so the
      // claim is released once the table service responds.
      if (can_requeue) {
        Release(operation.key, operation.record.attempt);
      }
      continue;
    }
    if (operation.on_end) {
      std::exchange(operation.on_end, [] {})();
    }
    if (can_requeue && base::RuntimeClock::now() < operation.deadline) {
      Enqueue(std::move(operation));
      has_requeued = true;
    }
  }
  if (has_requeued) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, m_options.retry_delay,
                       [this] { return m_stopping; });
  }
}

}  // namespace shallotwick::gateway
