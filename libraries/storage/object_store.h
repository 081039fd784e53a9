#pragma once

#include <optional>
#include <string>

#include "storage/table_service.h"

namespace shallotwick::storage {

// The platform's object store, for values that are too large for a row. Objects
// are immutable.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // Throws Unavailable.
  virtual void Put(const std::string& key, const std::string& value) = 0;
  // Returns std::nullopt if the object does not exist. Throws Unavailable.
  virtual std::optional<std::string> Get(const std::string& key) = 0;
};

}  // namespace shallotwick::storage
