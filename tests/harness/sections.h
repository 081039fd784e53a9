#pragma once

#include <string>

namespace shallotwick::harness {

// A section with the spare pool alone.
inline std::string MakeOfficeSection(int promise, int budget) {
  return "section: office\n"
         "pools:\n"
         "  - name: office\n"
         "    promise: {dc-0: " +
         std::to_string(promise) +
         "}\n"
         "    budget: " +
         std::to_string(budget) + "\n";
}

// A section with one pool and one service of the team's name.
inline std::string MakeTeamSection(const std::string& team, int promise,
                                   int budget, int slots = 8) {
  return "section: " + team +
         "\n"
         "pools:\n"
         "  - name: " +
         team +
         "\n"
         "    promise: {dc-0: " +
         std::to_string(promise) +
         "}\n"
         "    budget: " +
         std::to_string(budget) +
         "\n"
         "    survive: rack\n"
         "services:\n"
         "  - name: " +
         team +
         "\n"
         "    pool: " +
         team +
         "\n"
         "    slots: " +
         std::to_string(slots) +
         "\n"
         "    connections: 64\n"
         "    deadline_ms: 5000\n"
         "    idempotent: [GET, HEAD, PUT]\n";
}

// Adds a wave over the team's own pool.
inline std::string WithWave(const std::string& section, const std::string& wave,
                            const std::string& pool, int at_once) {
  return section +
         "waves:\n"
         "  - name: " +
         wave +
         "\n"
         "    pools: [" +
         pool +
         "]\n"
         "    at_once: " +
         std::to_string(at_once) + "\n";
}

}  // namespace shallotwick::harness
