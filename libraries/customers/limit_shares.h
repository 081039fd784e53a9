#pragma once

#include <compare>
#include <map>
#include <string>

#include "base/resources.h"

namespace shallotwick::customers {

// How the limit of one customer is divided: what its runs may use in each pool
// at most. The sum over all pools stays within the limit, so that owners of
// pools need not agree on each start.
class LimitShares {
 public:
  // Throws std::runtime_error if the text is not a stored division.
  static LimitShares Parse(const std::string& text);
  std::string Format() const;

  base::Resources GetShare(const std::string& pool) const;
  // Returns the sum over all pools.
  const base::Resources& GetTotal() const { return m_total; }
  // A pool without a share is left out.
  LimitShares WithShare(const std::string& pool,
                        const base::Resources& share) const;

  auto operator<=>(const LimitShares&) const = default;

 private:
  std::map<std::string, base::Resources> m_by_pool;
  base::Resources m_total;
};

}  // namespace shallotwick::customers
