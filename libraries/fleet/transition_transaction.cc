#include "fleet/transition_transaction.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "records/keys.h"

namespace shallotwick::fleet {
namespace {

using storage::Condition;
using storage::Write;

uint64_t GetGeneration(const std::map<std::string, uint64_t>& generations,
                       const std::string& key) {
  const auto found = generations.find(key);
  return found == generations.end() ? storage::kAbsent : found->second;
}

records::PoolRecord& FindPool(
    const std::map<std::string, records::PoolRecord>& pools,
    const std::string& pool, TransitionEffect* effect) {
  const auto known = pools.find(pool);
  const records::PoolRecord previous =
      known == pools.end() ? records::PoolRecord{pool, {}} : known->second;
  return effect->pools.emplace(pool, previous).first->second;
}

void SetUnavailable(records::PoolRecord* pool, const std::string& host,
                    bool is_unavailable) {
  std::erase(pool->unavailable, host);
  if (is_unavailable) {
    pool->unavailable.push_back(host);
    std::sort(pool->unavailable.begin(), pool->unavailable.end());
  }
}

bool IsUnavailable(const records::HostRecord& host) {
  return host.state != records::HostState::kServing;
}

}  // namespace

TransitionEffect ComputeTransitionEffect(
    const std::vector<Transition>& transitions,
    const records::ViewHeadRecord& view_head,
    const std::map<std::string, records::PoolRecord>& pools) {
  TransitionEffect effect;
  effect.view_head = view_head;
  ++effect.view_head.version;
  for (const Transition& transition : transitions) {
    if (transition.before) {
      SetUnavailable(&FindPool(pools, transition.before->pool, &effect),
                     transition.host, false);
    }
    effect.hosts[transition.host] = transition.after;
    if (transition.after) {
      SetUnavailable(&FindPool(pools, transition.after->pool, &effect),
                     transition.host, IsUnavailable(*transition.after));
      effect.hosts[transition.host]->view_version = effect.view_head.version;
    }
  }
  return effect;
}

storage::Transaction MakeTransitionTransaction(
    const TransitionEffect& effect,
    const std::map<std::string, uint64_t>& generations,
    const ControllerFence& fence) {
  storage::Transaction transaction;
  transaction.write_id = fence.write_id;
  transaction.conditions.push_back(
      Condition::FieldIs(records::kControllerLeaseKey, "token", fence.token));
  const auto add_write = [&](const std::string& key,
                             std::optional<std::string> value) {
    transaction.conditions.push_back(
        Condition::GenerationIs(key, GetGeneration(generations, key)));
    transaction.writes.push_back(Write{key, std::move(value)});
  };
  add_write(records::kViewHeadKey, nlohmann::json(effect.view_head).dump());
  for (const auto& [name, record] : effect.hosts) {
    std::optional<std::string> value;
    if (record) {
      value = nlohmann::json(*record).dump();
    }
    add_write(records::HostKey(name), std::move(value));
  }
  for (const auto& [name, pool] : effect.pools) {
    add_write(records::PoolKey(name), nlohmann::json(pool).dump());
  }
  return transaction;
}

}  // namespace shallotwick::fleet
