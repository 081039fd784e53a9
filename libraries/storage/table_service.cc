#include "storage/table_service.h"

#include <utility>

namespace shallotwick::storage {

Condition Condition::GenerationIs(std::string key, uint64_t generation) {
  Condition condition;
  condition.kind = Kind::kGenerationIs;
  condition.key = std::move(key);
  condition.generation = generation;
  return condition;
}

Condition Condition::FieldIs(std::string key, std::string field,
                             std::string value) {
  Condition condition;
  condition.kind = Kind::kFieldIs;
  condition.key = std::move(key);
  condition.field = std::move(field);
  condition.field_value = std::move(value);
  return condition;
}

}  // namespace shallotwick::storage
