#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/finding.h"
#include "customers/customer.h"

namespace shallotwick::customers {

// The customers of one configuration. Immutable.
class CustomerRegistry {
 public:
  // The registry of a configuration that names no customers: calls need no key.
  CustomerRegistry() = default;
  // Calls need a key, also if `customers` is empty. Of several customers with
  // one name, the first counts; a key that several customers have admits none
  // of them, because it is not known whose it is. Appends what is left out to
  // `findings`, without the keys themselves.
  CustomerRegistry(std::vector<Customer> customers, base::Findings& findings);

  // Whether calls need a key.
  bool RequiresKeys() const { return m_requires_keys; }
  // Returns the customer that has the key, or null.
  const Customer* FindByKey(const std::string& key) const;
  // Returns the customer of this name, or null.
  const Customer* Find(const std::string& name) const;
  const std::map<std::string, Customer>& GetCustomers() const {
    return m_customers;
  }

  auto operator<=>(const CustomerRegistry&) const = default;

 private:
  bool m_requires_keys = false;
  std::map<std::string, Customer> m_customers;
  // The names of the customers by key.
  std::map<std::string, std::string> m_names_by_key;
};

}  // namespace shallotwick::customers
