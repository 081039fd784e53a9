#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallotwick::bench {

// The figures of one run: a table on standard output, and JSON.
class BenchReport {
 public:
  // One measured figure at one size.
  void Add(const std::string& series, const std::string& size_name, double size,
           const std::string& figure, double value, const std::string& unit);

  void WriteJson(const std::string& path) const;

 private:
  nlohmann::json m_rows = nlohmann::json::array();
};

}  // namespace shallotwick::bench
