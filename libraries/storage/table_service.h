#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace shallotwick::storage {

// The service did not respond. The request may have taken effect.
class Unavailable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One row of the table service.
struct Row {
  std::string key;
  // A JSON object.
  std::string value;
  // Increases with every write to the row. Never reused, not even after the row
  // is deleted.
  uint64_t generation = 0;
  // Identifies the transaction that last wrote the row.
  std::string write_id;

  auto operator<=>(const Row&) const = default;
};

// Generation that stands for a row that does not exist.
inline constexpr uint64_t kAbsent = 0;

// A precondition of a transaction.
struct Condition {
  enum class Kind { kGenerationIs, kFieldIs };

  Kind kind = Kind::kGenerationIs;
  std::string key;
  uint64_t generation = kAbsent;
  // For kFieldIs: the name of a string field of the row and its expected value.
  std::string field;
  std::string field_value;

  static Condition GenerationIs(std::string key, uint64_t generation);
  static Condition FieldIs(std::string key, std::string field,
                           std::string value);

  auto operator<=>(const Condition&) const = default;
};

struct Write {
  std::string key;
  // The row is deleted if there is no value.
  std::optional<std::string> value;

  auto operator<=>(const Write&) const = default;
};

struct Transaction {
  std::string write_id;
  std::vector<Condition> conditions;
  std::vector<Write> writes;

  auto operator<=>(const Transaction&) const = default;
};

struct ReadRequest {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;

  auto operator<=>(const ReadRequest&) const = default;
};

enum class CommitStatus {
  kCommitted,
  kConflict,
  // The response was lost, and the rows no longer show whether the transaction
  // was committed.
  kUnknown,
};

struct CommitResult {
  CommitStatus status = CommitStatus::kCommitted;
  // If committed: the new generation of the written rows.
  uint64_t generation = kAbsent;
  // If in conflict: the keys of the conditions that were not met.
  std::vector<std::string> conflicting_keys;

  auto operator<=>(const CommitResult&) const = default;
};

// The platform's transactional table service.
class TableService {
 public:
  virtual ~TableService() = default;

  // Returns a consistent snapshot of the requested rows, sorted by key. Throws
  // Unavailable.
  virtual std::vector<Row> Read(const ReadRequest& request) = 0;

  // Applies all writes if all conditions are met, otherwise none. If it throws
  // Unavailable, the transaction may or may not have been committed.
  virtual CommitResult Commit(const Transaction& transaction) = 0;
};

}  // namespace shallotwick::storage
