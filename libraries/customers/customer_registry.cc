#include "customers/customer_registry.h"

#include <set>
#include <utility>

namespace shallotwick::customers {

CustomerRegistry::CustomerRegistry(std::vector<Customer> customers,
                                   base::Findings& findings)
    : m_requires_keys(true) {
  std::set<std::string> ambiguous;
  for (Customer& customer : customers) {
    const std::string name = customer.name;
    if (m_customers.count(name) > 0) {
      findings.push_back({"customer " + name, "is named twice",
                          "the first entry is in force; merge them"});
      continue;
    }
    for (const std::string& key : customer.keys) {
      const auto [entry, is_new] = m_names_by_key.try_emplace(key, name);
      if (!is_new && entry->second != name) {
        ambiguous.insert(key);
        findings.push_back({"customer " + name,
                            "has a key of customer " + entry->second,
                            "the key admits neither; replace it"});
      }
    }
    m_customers.emplace(name, std::move(customer));
  }
  for (const std::string& key : ambiguous) {
    m_names_by_key.erase(key);
  }
}

const Customer* CustomerRegistry::FindByKey(const std::string& key) const {
  const auto found = m_names_by_key.find(key);
  return found == m_names_by_key.end() ? nullptr : Find(found->second);
}

const Customer* CustomerRegistry::Find(const std::string& name) const {
  const auto found = m_customers.find(name);
  return found == m_customers.end() ? nullptr : &found->second;
}

}  // namespace shallotwick::customers
