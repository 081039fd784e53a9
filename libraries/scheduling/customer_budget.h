#pragma once

#include <map>
#include <string>
#include <vector>

#include "customers/customer_registry.h"
#include "customers/share_planner.h"
#include "scheduling/resources.h"

namespace shallotwick::scheduling {

// What a customer uses of a pool, for operators.
struct CustomerUse {
  std::string customer;
  int jobs = 0;
  Resources used;
  // Of the pool: what is used of the resource that is used most, and the share
  // by weight.
  double used_share = 0;
  double fair_share = 0;

  auto operator<=>(const CustomerUse&) const = default;
};

// What the customers of a pool's jobs use, and what they may start in addition.
// Counted anew in each scheduling pass.
class CustomerBudget {
 public:
  // Jobs without a customer.
  static constexpr int kNobody = 0;

  // Returns the number that stands for a customer in runs and jobs.
  int GetNumber(const std::string& customer);
  // Sets what each customer with a limit may use. The others have none.
  void SetAllowances(
      const std::map<std::string, customers::Allowance>& allowances);
  // Sets the customers' weights.
  void SetCustomers(const customers::CustomerRegistry& customers);
  // Returns whether any customer has a limit or a weight.
  bool IsNeeded() const { return !m_allowances.empty() || !m_weights.empty(); }

  void BeginPass();
  void AddUse(int customer, const Resources& amount);
  // Runs of a former owner that may be present beside the known ones.
  void AddPossibleUse(int customer, const Resources& amount);
  // Bounds the possible use by what the targets offer that have not answered.
  void LimitPossibleUse(const Resources& capacity);
  // Takes note that the customer has a job in the pool.
  void AddJob(int customer) { ++GetAccount(customer).jobs; }
  // Divides the pool by the weights of the customers that have jobs.
  void DividePool(const Resources& capacity);
  // Returns whether the customer uses so much more than its share that others
  // come first.
  bool IsOverShare(int customer) const;
  // Returns whether the customer's limit allows `count` tasks to start
  // together.
  bool Allows(int customer, const Resources& demand, int count) const;
  // Takes note of tasks that could start but for the customer's limit.
  void AddBlocked(int customer, const Resources& demand, int count);
  // Ends the pass. `room`: what the targets have left; tasks for which there is
  // no room are not kept from starting by a limit.
  void EndPass(const Resources& room);

  // Returns the customers that use the most, as of the last pass.
  std::vector<CustomerUse> ListLargest(size_t count) const;
  // Returns the needs of the customers with a limit, as of the last pass.
  const std::map<std::string, customers::CustomerNeed>& GetNeeds() const {
    return m_needs;
  }

 private:
  struct Account {
    std::string customer;
    bool is_limited = false;
    double weight = 0;
    int jobs = 0;
    // Of the pool; 0 without a weight.
    double share = 0;
    customers::Allowance allowance;
    Resources used;
    Resources possibly_used;
    Resources blocked;
    Resources first_blocked;
  };

  Account& GetAccount(int customer) {
    return m_accounts[static_cast<size_t>(customer)];
  }

  // By number.
  std::vector<Account> m_accounts{1};
  std::map<std::string, int> m_numbers;
  std::map<std::string, customers::Allowance> m_allowances;
  std::map<std::string, customers::CustomerNeed> m_needs;
  std::map<std::string, double> m_weights;
  Resources m_capacity;
};

}  // namespace shallotwick::scheduling
