#include "bench_report.h"

#include <cstdio>
#include <fstream>

namespace shallotwick::bench {

void BenchReport::Add(const std::string& series, const std::string& size_name,
                      double size, const std::string& figure, double value,
                      const std::string& unit) {
  m_rows.push_back({{"series", series},
                    {"size_name", size_name},
                    {"size", size},
                    {"figure", figure},
                    {"value", value},
                    {"unit", unit}});
  std::printf("%-16s %-10s %8.0f  %-34s %14.4f %s\n", series.c_str(),
              size_name.c_str(), size, figure.c_str(), value, unit.c_str());
  std::fflush(stdout);
}

void BenchReport::WriteJson(const std::string& path) const {
  std::ofstream file(path);
  file << nlohmann::json({{"rows", m_rows}}).dump(1) << "\n";
}

}  // namespace shallotwick::bench
