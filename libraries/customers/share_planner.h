#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "customers/customer_registry.h"
#include "customers/limit_shares.h"

namespace shallotwick::customers {

// What a customer's work in one pool needs at this moment.
struct CustomerNeed {
  // What its runs may use, including runs whose state is not certain.
  base::Resources used;
  // What the tasks need that only the customer's limit keeps from starting, and
  // what the first of them needs.
  base::Resources blocked;
  base::Resources first_blocked;

  auto operator<=>(const CustomerNeed&) const = default;
};

// What a customer's runs in one pool may use.
struct Allowance {
  base::Resources most;
  // A single task that is larger than the limit may run while the customer runs
  // nothing else.
  bool may_exceed_alone = false;

  // Returns whether `count` tasks that need `demand` together may start beside
  // what is used.
  bool Allows(const base::Resources& used, const base::Resources& demand,
              int count) const;

  auto operator<=>(const Allowance&) const = default;
};

// A change of this pool's share to commit.
struct ShareChange {
  std::string customer;
  // The version that the stored division must have.
  uint64_t expected_version = 0;
  LimitShares shares;

  auto operator<=>(const ShareChange&) const = default;
};

// The division of a customer's limit as it is stored.
struct StoredShares {
  std::string customer;
  uint64_t version = 0;
  LimitShares shares;

  auto operator<=>(const StoredShares&) const = default;
};

// Takes and returns shares of customers' limits for one pool. A raise counts
// once it is known to be stored, a reduction as soon as it may be. The owner
// asks for what is needed now and a bit more, and returns what it does not
// use within some 200 ms, so that a queue whose turn begins finds it.
class SharePlanner {
 public:
  explicit SharePlanner(std::string pool);

  // Sets the limits in force.
  void SetCustomers(const CustomerRegistry& customers);
  // Returns whether any customer has a limit.
  bool HasLimits() const { return !m_limited.empty(); }
  // Returns what each customer with a limit may use in this pool.
  std::map<std::string, Allowance> GetAllowances() const;
  // Return this pool's share and the sum of all shares, as last known.
  base::Resources GetShare(const std::string& customer) const;
  base::Resources GetTotal(const std::string& customer) const;
  // Returns changes to commit in one transaction; none while one is under way.
  // `may_reduce`: all runs of former owners are known.
  std::vector<ShareChange> Plan(
      const std::map<std::string, CustomerNeed>& needs, bool may_reduce,
      base::TimePoint now);
  void OnCommitted(uint64_t version);
  // `current`: the stored divisions that differ from what was expected.
  void OnConflict(const std::vector<StoredShares>& current);
  // The transaction was refused, or its outcome is unknown.
  void OnFailed(base::TimePoint now);

  // Returns the customers whose stored division is to be read: it is not known,
  // their limit has fallen, or other pools may have returned shares that this
  // one lacks.
  std::vector<std::string> ListToRead(base::TimePoint now);
  void OnRead(const StoredShares& stored);

 private:
  struct Entry {
    // Without a limit: kUnlimited.
    base::Resources limit;
    uint64_t version = 0;
    LimitShares shares;
    bool is_known = false;
    // The limit has fallen since the division was read.
    bool is_outdated = false;
    // A transaction was sent whose outcome is not known.
    bool is_uncertain = false;
    // The share after a reduction that may be stored.
    std::optional<base::Resources> reduced_share;
    // Since when the pool has had more than it needs.
    std::optional<base::TimePoint> surplus_since;
    base::TimePoint read_at;
    base::Duration read_delay{0};
    // The share does not suffice for what is needed.
    bool is_short = false;
  };

  base::Resources GetOwnShare(const Entry& entry) const;
  // Adds a change of the customer's share to the next transaction, if there is
  // one to make and room for it.
  void PlanCustomer(const std::string& name, Entry& entry,
                    const std::map<std::string, CustomerNeed>& needs,
                    bool may_reduce, base::TimePoint now);
  // Returns the share to have, which may be the present one.
  base::Resources ChooseShare(Entry& entry, const CustomerNeed& need,
                              bool may_reduce, base::TimePoint now) const;
  void Learn(Entry& entry, uint64_t version, const LimitShares& shares);

  std::string m_pool;
  std::map<std::string, Entry> m_limited;
  std::vector<ShareChange> m_in_flight;
  // How many changes the next transaction may have.
  size_t m_max_changes = 4;
  // The last customer of the last transaction.
  std::string m_last_planned;
  base::TimePoint m_not_before;
};

}  // namespace shallotwick::customers
