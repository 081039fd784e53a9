#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "document/section.h"
#include "records/host_record.h"

namespace shallotwick::fleet {

// Counts the hosts of each pool. Remove and Add update the counts for each
// planned transition.
class PoolCensus {
 public:
  PoolCensus(const std::vector<document::PoolPlan>& pools,
             const std::map<std::string, records::HostRecord>& hosts);

  void Remove(const records::HostRecord& host);
  void Add(const records::HostRecord& host);

  int CountServing(const std::string& pool,
                   const std::string& data_centre) const;
  int GetPromise(const std::string& pool, const std::string& data_centre) const;
  // Returns the number of hosts of the pool in a rack, in any state. A host
  // that is moving counts for the pool it moves to.
  int CountInRack(const std::string& pool, const std::string& data_centre,
                  const std::string& rack) const;
  // Returns the number of promised hosts that are not serving, over all data
  // centres.
  int CountMissing(const std::string& pool) const;

  // Returns whether one serving host of the pool may be made unavailable: the
  // data centre has more serving hosts than promised, or the pool's budget is
  // not used up.
  bool CanMakeUnavailable(const std::string& pool,
                          const std::string& data_centre) const;

 private:
  struct Counts {
    int promise = 0;
    int serving = 0;

    int CountMissing() const {
      return serving < promise ? promise - serving : 0;
    }
  };
  using PoolLocation = std::pair<std::string, std::string>;

  void AdjustServing(const records::HostRecord& host, int change);

  std::map<PoolLocation, Counts> m_counts;
  std::map<std::string, int> m_missing;
  std::map<std::string, int> m_budgets;
  std::map<std::string, int> m_in_rack;
};

}  // namespace shallotwick::fleet
