#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "document/section.h"
#include "records/host_record.h"

namespace shallotwick::fleet {

// Counts of the hosts of each pool, kept up to date through transitions.
class PoolCensus {
 public:
  PoolCensus(const std::vector<document::PoolPlan>& pools,
             const std::map<std::string, records::HostRecord>& hosts);

  void Remove(const records::HostRecord& host);
  void Add(const records::HostRecord& host);

  int CountServing(const std::string& pool,
                   const std::string& data_centre) const;
  int GetPromise(const std::string& pool, const std::string& data_centre) const;
  // Hosts of the pool in a rack, whatever their state.
  int CountInRack(const std::string& pool, const std::string& data_centre,
                  const std::string& rack) const;
  // Promised hosts that are not serving, over all data centres.
  int CountMissing(const std::string& pool) const;

  // Whether one serving host of the pool may be made unavailable.
  bool CanSpare(const std::string& pool, const std::string& data_centre) const;

 private:
  struct Counts {
    int promise = 0;
    int serving = 0;

    int CountMissing() const {
      return serving < promise ? promise - serving : 0;
    }
  };
  using Place = std::pair<std::string, std::string>;

  void AddServing(const records::HostRecord& host, int change);

  std::map<Place, Counts> m_counts;
  std::map<std::string, int> m_missing;
  std::map<std::string, int> m_budgets;
  std::map<std::string, int> m_in_rack;
};

}  // namespace shallotwick::fleet
