#include "scheduling/customer_budget.h"

#include <algorithm>

namespace shallotwick::scheduling {
namespace {

// A customer's use rises and falls with single jobs, of which one may take more
// than the share of a small customer.
constexpr double kShareTolerance = 1.25;
constexpr double kAdditionalShare = 0.05;

Resources TakeLeast(const Resources& left, const Resources& right) {
  return {std::min(left.cpu_milli, right.cpu_milli),
          std::min(left.memory_mb, right.memory_mb),
          std::min(left.accelerators, right.accelerators)};
}

Resources Multiply(const Resources& resources, int count) {
  return {resources.cpu_milli * count, resources.memory_mb * count,
          resources.accelerators * count};
}

// The largest part of any resource that is used.
double GetDominantShare(const Resources& used, const Resources& capacity) {
  const auto part = [](int64_t amount, int64_t all) {
    return all <= 0 ? 0.0
                    : static_cast<double>(amount) / static_cast<double>(all);
  };
  return std::max({part(used.cpu_milli, capacity.cpu_milli),
                   part(used.memory_mb, capacity.memory_mb),
                   part(used.accelerators, capacity.accelerators)});
}

}  // namespace

int CustomerBudget::GetNumber(const std::string& customer) {
  if (customer.empty()) {
    return kNobody;
  }
  const auto [entry, is_new] =
      m_numbers.try_emplace(customer, static_cast<int>(m_accounts.size()));
  if (is_new) {
    Account account;
    account.customer = customer;
    const auto weight = m_weights.find(customer);
    account.weight = weight == m_weights.end() ? 0 : weight->second;
    const auto allowance = m_allowances.find(customer);
    if (allowance != m_allowances.end()) {
      account.is_limited = true;
      account.allowance = allowance->second;
    }
    m_accounts.push_back(std::move(account));
  }
  return entry->second;
}

void CustomerBudget::SetAllowances(
    const std::map<std::string, customers::Allowance>& allowances) {
  m_allowances = allowances;
  for (Account& account : m_accounts) {
    const auto allowance = allowances.find(account.customer);
    account.is_limited = allowance != allowances.end();
    if (account.is_limited) {
      account.allowance = allowance->second;
    }
  }
}

void CustomerBudget::SetCustomers(
    const customers::CustomerRegistry& customers) {
  m_weights.clear();
  for (const auto& [name, customer] : customers.GetCustomers()) {
    if (customer.weight > 0) {
      m_weights[name] = customer.weight;
    }
  }
  for (Account& account : m_accounts) {
    const auto weight = m_weights.find(account.customer);
    account.weight = weight == m_weights.end() ? 0 : weight->second;
  }
}

void CustomerBudget::BeginPass() {
  for (Account& account : m_accounts) {
    account.used = {};
    account.possibly_used = {};
    account.blocked = {};
    account.first_blocked = {};
    account.jobs = 0;
    account.share = 0;
  }
}

void CustomerBudget::AddUse(int customer, const Resources& amount) {
  Account& account = GetAccount(customer);
  account.used = account.used + amount;
}

void CustomerBudget::AddPossibleUse(int customer, const Resources& amount) {
  Account& account = GetAccount(customer);
  account.possibly_used = account.possibly_used + amount;
}

void CustomerBudget::LimitPossibleUse(const Resources& capacity) {
  for (Account& account : m_accounts) {
    account.used = account.used + TakeLeast(account.possibly_used, capacity);
    account.possibly_used = {};
  }
}

void CustomerBudget::DividePool(const Resources& capacity) {
  m_capacity = capacity;
  double weights = 0;
  for (const Account& account : m_accounts) {
    weights += account.jobs > 0 ? account.weight : 0;
  }
  for (Account& account : m_accounts) {
    account.share =
        account.jobs > 0 && weights > 0 ? account.weight / weights : 0;
  }
}

bool CustomerBudget::IsOverShare(int customer) const {
  const Account& account = m_accounts[static_cast<size_t>(customer)];
  return account.share > 0 &&
         GetDominantShare(account.used, m_capacity) >
             kShareTolerance * account.share + kAdditionalShare;
}

bool CustomerBudget::Allows(int customer, const Resources& demand,
                            int count) const {
  const Account& account = m_accounts[static_cast<size_t>(customer)];
  return !account.is_limited ||
         account.allowance.Allows(account.used, Multiply(demand, count), count);
}

void CustomerBudget::AddBlocked(int customer, const Resources& demand,
                                int count) {
  Account& account = GetAccount(customer);
  if (account.blocked == Resources{}) {
    account.first_blocked = demand;
  }
  account.blocked = account.blocked + Multiply(demand, count);
}

void CustomerBudget::EndPass(const Resources& room) {
  m_needs.clear();
  for (const Account& account : m_accounts) {
    const customers::CustomerNeed need{
        account.used, TakeLeast(account.blocked, room),
        account.first_blocked.Fits(room) ? account.first_blocked : Resources{}};
    if (account.is_limited && need != customers::CustomerNeed{}) {
      m_needs[account.customer] = need;
    }
  }
}

std::vector<CustomerUse> CustomerBudget::ListLargest(size_t count) const {
  std::vector<CustomerUse> uses;
  for (const Account& account : m_accounts) {
    if (!account.customer.empty() && account.jobs > 0) {
      uses.push_back({account.customer, account.jobs, account.used,
                      GetDominantShare(account.used, m_capacity),
                      account.share});
    }
  }
  std::sort(uses.begin(), uses.end(),
            [](const CustomerUse& left, const CustomerUse& right) {
              return left.used_share > right.used_share;
            });
  uses.resize(std::min(uses.size(), count));
  return uses;
}

}  // namespace shallotwick::scheduling
