#include "customers/limit_shares.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace shallotwick::customers {
namespace {

using nlohmann::json;

// Sums of these over all pools do not overflow.
constexpr int64_t kMaxAmount = int64_t{1} << 50;

int64_t ReadAmount(const json& value) {
  const auto amount = value.get<int64_t>();
  if (amount < 0 || amount > kMaxAmount) {
    throw std::runtime_error("share: is out of range");
  }
  return amount;
}

}  // namespace

LimitShares LimitShares::Parse(const std::string& text) {
  LimitShares shares;
  try {
    const json object = json::parse(text);
    if (!object.is_object()) {
      throw std::runtime_error("shares: is not an object");
    }
    for (const auto& [pool, share] : object.items()) {
      const base::Resources amount{ReadAmount(share.at(0)),
                                   ReadAmount(share.at(1)),
                                   ReadAmount(share.at(2))};
      shares.m_by_pool[pool] = amount;
      shares.m_total = shares.m_total + amount;
    }
  } catch (const json::exception& error) {
    throw std::runtime_error(error.what());
  }
  return shares;
}

std::string LimitShares::Format() const {
  json object = json::object();
  for (const auto& [pool, share] : m_by_pool) {
    object[pool] = {share.cpu_milli, share.memory_mb, share.accelerators};
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Resources LimitShares::GetShare(const std::string& pool) const {
  const auto found = m_by_pool.find(pool);
  return found == m_by_pool.end() ? base::Resources{} : found->second;
}

LimitShares LimitShares::WithShare(const std::string& pool,
                                   const base::Resources& share) const {
  LimitShares changed = *this;
  changed.m_total = m_total - GetShare(pool) + share;
  if (share == base::Resources{}) {
    changed.m_by_pool.erase(pool);
  } else {
    changed.m_by_pool[pool] = share;
  }
  return changed;
}

}  // namespace shallotwick::customers
