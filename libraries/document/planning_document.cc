#include "document/planning_document.h"

#include <algorithm>

namespace shallotwick::document {
namespace {

void Append(const Section& section, EffectivePlan* plan) {
  plan->pools.insert(plan->pools.end(), section.pools.begin(),
                     section.pools.end());
  plan->services.insert(plan->services.end(), section.services.begin(),
                        section.services.end());
  plan->waves.insert(plan->waves.end(), section.waves.begin(),
                     section.waves.end());
  if (section.quota > 0) {
    plan->quotas[section.team] = section.quota;
  }
}

void ApplyLimit(const PromiseLimit& limit, EffectivePlan* plan) {
  for (PoolPlan& pool : plan->pools) {
    const auto promised = pool.promise.find(limit.data_centre);
    if (pool.name == limit.pool && promised != pool.promise.end()) {
      promised->second = std::min(promised->second, limit.hosts);
    }
  }
}

}  // namespace

std::string ComputeDigest(const std::string& text) {
  // FNV-1a only has to distinguish the few texts of one section; it is not
  // collision-resistant against an attacker.
  constexpr uint64_t kOffset = 14695981039346656037ULL;
  constexpr uint64_t kPrime = 1099511628211ULL;
  uint64_t hash = kOffset;
  for (unsigned char byte : text) {
    hash = (hash ^ byte) * kPrime;
  }
  constexpr char kDigits[] = "0123456789abcdef";
  std::string digest;
  for (int shift = 60; shift >= 0; shift -= 4) {
    digest.push_back(kDigits[(hash >> shift) & 0xF]);
  }
  return digest;
}

EffectivePlan MakeEffectivePlan(const PlanningDocument& document) {
  EffectivePlan plan;
  plan.version = document.version;
  for (const auto& [team, accepted] : document.sections) {
    Append(accepted.section, &plan);
  }
  for (const auto& [team, accepted] : document.sections) {
    for (const PromiseLimit& limit : accepted.section.limits) {
      ApplyLimit(limit, &plan);
    }
  }
  return plan;
}

}  // namespace shallotwick::document
