#include "customers/share_planner.h"

#include <algorithm>
#include <utility>

namespace shallotwick::customers {
namespace {

using base::Resources;

// Stands for no limit. Differences and sums of it do not overflow.
constexpr int64_t kUnlimited = int64_t{1} << 60;
// The part of what is needed that a pool keeps in addition, so that it need not
// ask for each task.
constexpr int64_t kHeadroomParts = 4;
// A surplus is worth a transaction if it exceeds this part of what is needed
// and this part of the limit.
constexpr int64_t kSurplusParts = 2;
constexpr int64_t kLeastReturnParts = 32;
// Runs often end shortly before others start.
constexpr auto kMaxSurplusTime = std::chrono::milliseconds(200);
// Less than a transaction is worth is returned too, but later.
constexpr auto kMaxSmallSurplusTime = std::chrono::milliseconds(1'000);
constexpr auto kRetryDelay = std::chrono::milliseconds(150);
// How often a pool looks for room while other pools hold the whole limit.
constexpr auto kMinReadDelay = std::chrono::milliseconds(100);
constexpr auto kMaxReadDelay = std::chrono::milliseconds(400);
// Two entries a change, and one for the owner's row.
constexpr size_t kMaxChanges = 45;
// One changed division fails the whole transaction. While other owners change
// the same ones, smaller transactions get through.
constexpr size_t kMinChanges = 4;

constexpr int64_t Resources::*kComponents[] = {
    &Resources::cpu_milli, &Resources::memory_mb, &Resources::accelerators};

template <typename Combine>
Resources CombineEach(const Resources& left, const Resources& right,
                      const Combine& combine) {
  Resources result;
  for (const auto component : kComponents) {
    result.*component = combine(left.*component, right.*component);
  }
  return result;
}

Resources TakeLeast(const Resources& left, const Resources& right) {
  return CombineEach(left, right,
                     [](int64_t a, int64_t b) { return std::min(a, b); });
}

Resources TakeMost(const Resources& left, const Resources& right) {
  return CombineEach(left, right,
                     [](int64_t a, int64_t b) { return std::max(a, b); });
}

bool IsNothing(const Resources& resources) { return resources == Resources{}; }

// Only limited resources are divided.
Resources KeepLimited(const Resources& amount, const Resources& limit) {
  return CombineEach(amount, limit, [](int64_t value, int64_t most) {
    return most == kUnlimited ? 0 : value;
  });
}

Resources GetLimit(const Customer& customer) {
  return CombineEach(customer.limit, {}, [](int64_t limit, int64_t) {
    return limit == 0 ? kUnlimited : limit;
  });
}

// After a limit has fallen, the shares together may exceed it. Each pool then
// uses only its part of the new limit.
Resources ScaleToLimit(const Resources& share, const Resources& total,
                       const Resources& limit) {
  Resources scaled;
  for (const auto component : kComponents) {
    const bool exceeds = total.*component > limit.*component;
    scaled.*component =
        exceeds ? static_cast<int64_t>(static_cast<double>(share.*component) *
                                       static_cast<double>(limit.*component) /
                                       static_cast<double>(total.*component))
                : share.*component;
  }
  return scaled;
}

}  // namespace

bool Allowance::Allows(const Resources& used, const Resources& demand,
                       int count) const {
  return (used + demand).Fits(most) ||
         (may_exceed_alone && count == 1 && IsNothing(used));
}

SharePlanner::SharePlanner(std::string pool) : m_pool(std::move(pool)) {}

void SharePlanner::SetCustomers(const CustomerRegistry& customers) {
  std::map<std::string, Entry> limited;
  for (const auto& [name, customer] : customers.GetCustomers()) {
    if (IsNothing(customer.limit)) {
      continue;
    }
    const auto known = m_limited.find(name);
    Entry entry = known == m_limited.end() ? Entry{} : known->second;
    const Resources limit = GetLimit(customer);
    if (entry.is_known && !entry.limit.Fits(limit)) {
      entry.is_outdated = true;
      entry.read_at = {};
    }
    entry.limit = limit;
    limited[name] = std::move(entry);
  }
  m_limited = std::move(limited);
}

Resources SharePlanner::GetOwnShare(const Entry& entry) const {
  const Resources stored = entry.shares.GetShare(m_pool);
  return entry.reduced_share ? TakeLeast(stored, *entry.reduced_share) : stored;
}

std::map<std::string, Allowance> SharePlanner::GetAllowances() const {
  std::map<std::string, Allowance> allowances;
  for (const auto& [name, entry] : m_limited) {
    Allowance& allowance = allowances[name];
    if (!entry.is_known || entry.is_outdated) {
      allowance.most = CombineEach(entry.limit, {}, [](int64_t limit, int64_t) {
        return limit == kUnlimited ? kUnlimited : 0;
      });
      continue;
    }
    const Resources own = GetOwnShare(entry);
    const Resources total = entry.shares.GetTotal();
    const Resources scaled = ScaleToLimit(own, total, entry.limit);
    allowance.most =
        CombineEach(scaled, entry.limit, [](int64_t share, int64_t limit) {
          return limit == kUnlimited ? kUnlimited : share;
        });
    // Only a share for a task larger than the limit exceeds it alone.
    allowance.may_exceed_alone = entry.shares.GetShare(m_pool) == total &&
                                 !total.Fits(entry.limit) &&
                                 !entry.reduced_share;
  }
  return allowances;
}

Resources SharePlanner::GetShare(const std::string& customer) const {
  const auto entry = m_limited.find(customer);
  return entry == m_limited.end() ? Resources{} : GetOwnShare(entry->second);
}

Resources SharePlanner::GetTotal(const std::string& customer) const {
  const auto entry = m_limited.find(customer);
  return entry == m_limited.end() ? Resources{}
                                  : entry->second.shares.GetTotal();
}

Resources SharePlanner::ChooseShare(Entry& entry, const CustomerNeed& need,
                                    bool may_reduce,
                                    base::TimePoint now) const {
  const Resources own = GetOwnShare(entry);
  const Resources total = entry.shares.GetTotal();
  const Resources others = total - entry.shares.GetShare(m_pool);
  const Resources used = KeepLimited(need.used, entry.limit);
  const Resources needed = KeepLimited(need.used + need.blocked, entry.limit);
  const Resources wanted = CombineEach(needed, {}, [](int64_t amount, int64_t) {
    return amount + amount / kHeadroomParts;
  });
  const bool is_oversized =
      IsNothing(others) && !need.first_blocked.Fits(entry.limit);
  if (!total.Fits(entry.limit)) {
    // The limit has fallen, or a single task exceeds it.
    const bool runs_alone = IsNothing(others) && !used.Fits(entry.limit);
    const Resources scaled = ScaleToLimit(own, total, entry.limit);
    return !may_reduce || runs_alone || is_oversized
               ? own
               : TakeMost(used, TakeLeast(scaled, wanted));
  }
  if (!needed.Fits(own)) {
    entry.surplus_since.reset();
    // Nothing else of the customer may run beside a task that exceeds the
    // limit.
    return is_oversized && IsNothing(used)
               ? KeepLimited(need.first_blocked, entry.limit)
               : TakeMost(own, TakeLeast(wanted, entry.limit - others));
  }
  if (!may_reduce) {
    return own;
  }
  const Resources kept = TakeLeast(own, wanted);
  if (kept == own) {
    entry.surplus_since.reset();
    return own;
  }
  const auto since = entry.surplus_since.value_or(now);
  entry.surplus_since = since;
  bool is_large = false;
  for (const auto component : kComponents) {
    is_large = is_large || (own - needed).*component >
                               needed.*component / kSurplusParts +
                                   entry.limit.*component / kLeastReturnParts;
  }
  const auto time = is_large ? kMaxSurplusTime : kMaxSmallSurplusTime;
  return now >= since + time ? kept : own;
}

std::vector<ShareChange> SharePlanner::Plan(
    const std::map<std::string, CustomerNeed>& needs, bool may_reduce,
    base::TimePoint now) {
  if (!m_in_flight.empty() || now < m_not_before) {
    return {};
  }
  // Each customer gets its turn, also while those before it change all the
  // time.
  const auto first = m_limited.upper_bound(m_last_planned);
  for (auto entry = first; entry != m_limited.end(); ++entry) {
    PlanCustomer(entry->first, entry->second, needs, may_reduce, now);
  }
  for (auto entry = m_limited.begin(); entry != first; ++entry) {
    PlanCustomer(entry->first, entry->second, needs, may_reduce, now);
  }
  if (!m_in_flight.empty()) {
    m_last_planned = m_in_flight.back().customer;
  }
  return m_in_flight;
}

void SharePlanner::PlanCustomer(
    const std::string& name, Entry& entry,
    const std::map<std::string, CustomerNeed>& needs, bool may_reduce,
    base::TimePoint now) {
  const auto found = needs.find(name);
  const CustomerNeed need =
      found == needs.end() ? CustomerNeed{} : found->second;
  const Resources share = ChooseShare(entry, need, may_reduce, now);
  entry.is_short =
      !KeepLimited(need.used + need.blocked, entry.limit).Fits(share);
  const bool is_changed =
      share != entry.shares.GetShare(m_pool) || entry.is_uncertain;
  if (!is_changed || m_in_flight.size() == m_max_changes) {
    return;
  }
  entry.reduced_share = TakeLeast(share, GetOwnShare(entry));
  m_in_flight.push_back(
      {name, entry.version, entry.shares.WithShare(m_pool, share)});
}

void SharePlanner::Learn(Entry& entry, uint64_t version,
                         const LimitShares& shares) {
  if (version < entry.version) {
    // A later division has been read since.
    return;
  }
  entry.version = version;
  entry.shares = shares;
  entry.is_known = true;
  entry.is_outdated = false;
  entry.is_uncertain = false;
  entry.reduced_share.reset();
  entry.read_delay = kMinReadDelay;
}

void SharePlanner::OnCommitted(uint64_t version) {
  m_max_changes = std::min(2 * m_max_changes, kMaxChanges);
  for (const ShareChange& change : std::exchange(m_in_flight, {})) {
    const auto entry = m_limited.find(change.customer);
    if (entry != m_limited.end()) {
      Learn(entry->second, version, change.shares);
    }
  }
}

void SharePlanner::OnConflict(const std::vector<StoredShares>& current) {
  const std::vector<ShareChange> changes = std::exchange(m_in_flight, {});
  m_max_changes = std::max(m_max_changes / 2, kMinChanges);
  for (const ShareChange& change : changes) {
    const auto entry = m_limited.find(change.customer);
    if (entry == m_limited.end()) {
      continue;
    }
    const auto found = std::find_if(
        current.begin(), current.end(),
        [&](const auto& stored) { return stored.customer == change.customer; });
    if (found != current.end()) {
      Learn(entry->second, found->version, found->shares);
    } else {
      // As expected.
      entry->second.is_known = true;
      if (!entry->second.is_uncertain) {
        entry->second.reduced_share.reset();
      }
    }
  }
}

void SharePlanner::OnFailed(base::TimePoint now) {
  m_not_before = now + kRetryDelay;
  for (const ShareChange& change : std::exchange(m_in_flight, {})) {
    const auto entry = m_limited.find(change.customer);
    if (entry != m_limited.end()) {
      entry->second.is_uncertain = true;
    }
  }
}

std::vector<std::string> SharePlanner::ListToRead(base::TimePoint now) {
  std::vector<std::string> customers;
  for (auto& [name, entry] : m_limited) {
    const bool is_due = !entry.is_known || entry.is_outdated || entry.is_short;
    if (!is_due || now < entry.read_at) {
      continue;
    }
    entry.read_delay =
        std::clamp(entry.read_delay, base::Duration(kMinReadDelay),
                   base::Duration(kMaxReadDelay));
    entry.read_at = now + entry.read_delay;
    entry.read_delay *= 2;
    customers.push_back(name);
  }
  return customers;
}

void SharePlanner::OnRead(const StoredShares& stored) {
  const auto entry = m_limited.find(stored.customer);
  const bool is_outdated =
      entry == m_limited.end() || stored.version < entry->second.version;
  if (is_outdated) {
    return;
  }
  // A transaction under way may still be carried out on this version.
  const bool may_change = entry->second.is_uncertain || !m_in_flight.empty();
  if (stored.version == entry->second.version && may_change) {
    entry->second.is_outdated = false;
    return;
  }
  const base::Duration delay = entry->second.read_delay;
  const bool has_news = stored.version > entry->second.version;
  Learn(entry->second, stored.version, stored.shares);
  entry->second.read_delay = has_news ? base::Duration(kMinReadDelay) : delay;
}

}  // namespace shallotwick::customers
