#pragma once

#include <optional>
#include <string>

#include "storage/table_service.h"

namespace shallotwick::storage {

// The platform's object store, for values too large for a row. Objects are
// never changed once written.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // Throws Unavailable.
  virtual void Put(const std::string& key, const std::string& value) = 0;
  // Returns nothing if there is no such object. Throws Unavailable.
  virtual std::optional<std::string> Get(const std::string& key) = 0;
};

}  // namespace shallotwick::storage
