#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace shallotwick::storage {

// The service did not answer. What was asked may have taken effect.
class Unavailable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One row of the table service.
struct Row {
  std::string key;
  // A JSON object.
  std::string value;
  // Grows with every write to the row; never reused, also after a delete.
  uint64_t generation = 0;
  // The transaction that wrote the row last.
  std::string write_id;

  auto operator<=>(const Row&) const = default;
};

// Generation of a row that does not exist.
inline constexpr uint64_t kAbsent = 0;

// What must hold for a transaction to commit.
struct Condition {
  enum class Kind { kGenerationIs, kFieldIs };

  Kind kind = Kind::kGenerationIs;
  std::string key;
  uint64_t generation = kAbsent;
  // For kFieldIs: a string field of the row and its value.
  std::string field;
  std::string field_value;

  static Condition GenerationIs(std::string key, uint64_t generation);
  static Condition FieldIs(std::string key, std::string field,
                           std::string value);

  auto operator<=>(const Condition&) const = default;
};

struct Write {
  std::string key;
  // Without a value the row is deleted.
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
  // The answer was lost and the rows no longer tell.
  kUnknown,
};

struct CommitResult {
  CommitStatus status = CommitStatus::kCommitted;
  // Generation that the rows written have from now on, if committed.
  uint64_t generation = kAbsent;
  // Keys of the conditions that did not hold.
  std::vector<std::string> conflicting_keys;

  auto operator<=>(const CommitResult&) const = default;
};

// The platform's transactional table service.
class TableService {
 public:
  virtual ~TableService() = default;

  // Reads rows as of one moment, sorted by key. Throws Unavailable.
  virtual std::vector<Row> Read(const ReadRequest& request) = 0;

  // Commits all writes if all conditions hold, else none. Throws Unavailable,
  // after which the transaction may have been committed or not.
  virtual CommitResult Commit(const Transaction& transaction) = 0;
};

}  // namespace shallotwick::storage
