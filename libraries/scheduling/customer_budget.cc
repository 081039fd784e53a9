#include "scheduling/customer_budget.h"

#include <algorithm>

namespace shallotwick::scheduling {
namespace {

Resources TakeLeast(const Resources& left, const Resources& right) {
  return {std::min(left.cpu_milli, right.cpu_milli),
          std::min(left.memory_mb, right.memory_mb),
          std::min(left.accelerators, right.accelerators)};
}

Resources Multiply(const Resources& resources, int count) {
  return {resources.cpu_milli * count, resources.memory_mb * count,
          resources.accelerators * count};
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
  m_has_limits = !allowances.empty();
  for (Account& account : m_accounts) {
    const auto allowance = allowances.find(account.customer);
    account.is_limited = allowance != allowances.end();
    if (account.is_limited) {
      account.allowance = allowance->second;
    }
  }
}

void CustomerBudget::BeginPass() {
  for (Account& account : m_accounts) {
    account.used = {};
    account.possibly_used = {};
    account.blocked = {};
    account.first_blocked = {};
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

}  // namespace shallotwick::scheduling
